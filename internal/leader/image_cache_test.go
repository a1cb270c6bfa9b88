package leader

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestImageCache: whatever is used, the cache holds the images used last, each once, as
// far as they fit, and the one used last in any case; what was fetched once counts as
// fetched for as long as it stays.
func TestImageCache(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := float64(rapid.IntRange(0, 20).Draw(rt, "capacityGB"))
		var cache imageCache
		var wanted imageCache // a model that looks at all uses, newest first
		for range rapid.IntRange(1, 20).Draw(rt, "uses") {
			name := fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(rt, "image"))
			gb := float64(len(wanted)%3 + 3)
			fetched := rapid.Bool().Draw(rt, "fetched")
			cache.use(name, gb, fetched, capacity)
			wanted = modelUse(wanted, cachedImage{name, gb, fetched}, capacity)
			checkImages(rt, cache, wanted)
		}
		cache.dropFetches()
		for _, image := range cache {
			if !image.fetched {
				rt.Fatalf("%v is still on its way", image)
			}
		}
	})
}

// checkImages compares a cache with its model, which is newest first.
func checkImages(rt *rapid.T, cache, wanted imageCache) {
	rt.Helper()
	if len(cache) != len(wanted) {
		rt.Fatalf("%v, want in reverse %v", cache, wanted)
	}
	for i, image := range cache {
		if want := wanted[len(wanted)-1-i]; image != want {
			rt.Fatalf("image %d is %v, want %v", i, image, want)
		}
		if cache.has(image.name) != image.fetched {
			rt.Fatalf("has %v: %v", image, cache.has(image.name))
		}
	}
}

// modelUse is what a cache holds after a use, newest first.
func modelUse(images imageCache, used cachedImage, capacityGB float64) imageCache {
	var others imageCache
	for _, image := range images {
		if image.name == used.name {
			used.fetched = used.fetched || image.fetched
		} else {
			others = append(others, image)
		}
	}
	kept, sum := imageCache{used}, used.gb
	for _, image := range others {
		sum += image.gb
		if capacityGB > 0 && sum > capacityGB {
			break
		}
		kept = append(kept, image)
	}
	return kept
}

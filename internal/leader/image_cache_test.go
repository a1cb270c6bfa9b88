package leader

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestImageCache checks random uses against a model: the cache holds the most recently used
// images that fit, each once, and always the last one used. An image that was fetched counts
// as fetched until it is evicted.
func TestImageCache(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := float64(rapid.IntRange(0, 20).Draw(rt, "capacityGB"))
		var cache imageCache
		var model imageCache // the model's cache, most recently used first
		for range rapid.IntRange(1, 20).Draw(rt, "uses") {
			name := fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(rt, "image"))
			gb := float64(len(model)%3 + 3)
			fetched := rapid.Bool().Draw(rt, "fetched")
			cache.use(name, gb, fetched, capacity)
			model = modelUse(model, cachedImage{name, gb, fetched}, capacity)
			checkImages(rt, cache, model)
		}
		cache.removeUnfetched()
		for _, image := range cache {
			if !image.fetched {
				rt.Fatalf("%v is still listed as being fetched", image)
			}
		}
	})
}

// checkImages compares a cache with its model, which is in reverse order.
func checkImages(rt *rapid.T, cache, model imageCache) {
	rt.Helper()
	if len(cache) != len(model) {
		rt.Fatalf("cache %v, want %v in reverse order", cache, model)
	}
	for i, image := range cache {
		if want := model[len(model)-1-i]; image != want {
			rt.Fatalf("image %d is %v, want %v", i, image, want)
		}
		if cache.has(image.name) != image.fetched {
			rt.Fatalf("image %v: has reports %v", image, cache.has(image.name))
		}
	}
}

// modelUse returns the model's cache after a use, most recently used image first.
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

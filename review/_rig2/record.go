package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the case's record.txt: one line for each thing that was sent, answered or run.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	writer *bufio.Writer
	closed bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// log writes a line with the time since the start. Lines of importance also go to the standard
// output.
func (r *record) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.write(line)
}

// trace writes a line to the file only.
func (r *record) trace(format string, args ...any) {
	r.write(fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...))
}

func (r *record) write(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_, _ = r.writer.WriteString(line + "\n")
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		_ = r.writer.Flush()
		_ = r.file.Close()
	}
}

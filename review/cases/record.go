package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	startedAt time.Time
	mutex     sync.Mutex
	file      *os.File
	writer    *bufio.Writer
}

func newRecord(directory string) (*record, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt")) //nolint:gosec // the directory is that of the case
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// add writes a line with the time since the start.
func (record *record) add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.writer, "%8.3f "+format+"\n", append([]any{time.Since(record.startedAt).Seconds()}, values...)...)
}

// note writes a line to the record and to the standard output.
func (record *record) note(format string, values ...any) {
	record.add(format, values...)
	fmt.Fprintf(os.Stdout, "%8.3f "+format+"\n", append([]any{time.Since(record.startedAt).Seconds()}, values...)...)
}

func (record *record) close() {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	if err := record.writer.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = record.file.Close() // flushed above
}

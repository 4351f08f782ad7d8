package trace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

const (
	// maxLineBytes bounds a line of a log; longer ones are skipped.
	maxLineBytes = 1 << 20
	// readBufferBytes is the size of the buffer for reading a log.
	readBufferBytes = 64 << 10
	// gzipSuffix marks the names of compressed logs.
	gzipSuffix = ".gz"
)

// Log is the log of one node or of several, in any order of nodes.
type Log struct {
	// Name is used in errors.
	Name string
	// Open returns the text from its start; it is called more than once.
	Open func() (src io.ReadCloser, err error)
}

// FindLogs returns the logs in files and, with all folders below, in directories. Files whose names end in .gz are
// decompressed.
func FindLogs(paths ...string) (logs []Log, err error) {
	defer errs.Annotate(&err, "find logs")
	for _, pth := range paths {
		err := filepath.WalkDir(pth, func(nam string, ent fs.DirEntry, err error) error {
			if err == nil && !ent.IsDir() {
				logs = append(logs, Log{Name: nam, Open: func() (io.ReadCloser, error) { return openFile(nam) }})
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return logs, nil
}

func openFile(name string) (src io.ReadCloser, err error) {
	fil, err := os.Open(name)
	if err != nil || !strings.HasSuffix(name, gzipSuffix) {
		return fil, err
	}
	unz, err := gzip.NewReader(fil)
	if err != nil {
		_ = fil.Close()
		return nil, err
	}
	return gzipFile{Reader: unz, file: fil}, nil
}

// gzipFile is a compressed file.
type gzipFile struct {
	*gzip.Reader

	file *os.File
}

// Close closes the file as well.
func (gzf gzipFile) Close() (err error) {
	return errors.Join(gzf.Reader.Close(), gzf.file.Close())
}

// each calls fun with each line of the log, which is valid until fun returns.
func (log Log) each(fun func(txt []byte)) (err error) {
	defer errs.Annotatef(&err, "read %s", log.Name)
	src, err := log.Open()
	if err != nil {
		return err
	}
	defer func() { _ = src.Close() }()
	red := bufio.NewReaderSize(src, readBufferBytes)
	var txt []byte
	tooLong := false
	for {
		part, err := red.ReadSlice('\n')
		if !tooLong {
			txt = append(txt, part...)
		}
		tooLong = tooLong || len(txt) > maxLineBytes
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if !tooLong && len(txt) > 0 {
			fun(bytes.TrimRight(txt, "\r\n"))
		}
		txt, tooLong = txt[:0], false
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

package httpserver

import (
	"math/bits"
	"sync"
)

// buffers holds unused buffers by size: firstBuffer, and each further power of two. Bodies that grow would otherwise
// leave as much garbage as they hold, faster than a small heap can be collected.
var buffers [40]sync.Pool

// bufferClass returns the index in buffers and the size of the smallest buffer for n bytes.
func bufferClass(n int) (class, size int) {
	class = bits.Len(uint((n - 1) / firstBuffer))
	return class, firstBuffer << class
}

// newBuffer returns an empty buffer whose capacity is that of a class. Its content is not cleared.
func newBuffer(size int) []byte {
	class, size := bufferClass(size)
	if b, ok := buffers[class].Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, size)
}

// freeBuffer makes a buffer from newBuffer available again.
func freeBuffer(b []byte) {
	class, _ := bufferClass(cap(b))
	buffers[class].Put(&b)
}

package main

import (
	"io"
	"strings"
	"testing"
)

// A known failure that hides another failure of its package would let a broken build pass.
func TestKnownFailureDoesNotHideAnother(t *testing.T) {
	const output = `{"Action":"fail","Package":"p","Test":"TestKnown"}
{"Action":"fail","Package":"p","Test":"TestNew"}
{"Action":"fail","Package":"p"}
{"Action":"pass","Package":"q","Test":"TestGood"}
`
	t1 := collect(map[string]string{"p.TestKnown": "seed 1"}, strings.NewReader(output), io.Discard)
	if len(t1.known) != 1 || t1.failed != 1 || t1.passed != 1 || len(t1.broken) != 2 {
		t.Fatalf("got %+v", t1)
	}
	onlyKnown := strings.Replace(output, `{"Action":"fail","Package":"p","Test":"TestNew"}`+"\n", "", 1)
	t2 := collect(map[string]string{"p.TestKnown": "seed 1"}, strings.NewReader(onlyKnown), io.Discard)
	if len(t2.broken) != 0 || len(t2.known) != 1 {
		t.Fatalf("got %+v", t2)
	}
}

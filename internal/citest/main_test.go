package main

import (
	"io"
	"strings"
	"testing"
)

// Guards against a known failure that hides another failure of its package, so that CI passes with a new failure.
func TestKnownFailureDoesNotHideAnother(t *testing.T) {
	const output = `{"Action":"fail","Package":"p","Test":"TestKnown"}
{"Action":"fail","Package":"p","Test":"TestNew"}
{"Action":"fail","Package":"p"}
{"Action":"pass","Package":"q","Test":"TestGood"}
`
	both := collect(map[string]string{"p.TestKnown": "seed 1"}, strings.NewReader(output), io.Discard)
	if len(both.knownFailures) != 1 || both.failed != 1 || both.passed != 1 || len(both.failedNames) != 2 {
		t.Fatalf("got %+v", both)
	}
	outputKnownOnly := strings.Replace(output, `{"Action":"fail","Package":"p","Test":"TestNew"}`+"\n", "", 1)
	knownOnly := collect(map[string]string{"p.TestKnown": "seed 1"}, strings.NewReader(outputKnownOnly), io.Discard)
	if len(knownOnly.failedNames) != 0 || len(knownOnly.knownFailures) != 1 {
		t.Fatalf("got %+v", knownOnly)
	}
}

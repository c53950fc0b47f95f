package caller

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

// maxMessage limits the text of an error in a response in bytes, as it may quote the request.
const maxMessage = 256

// pieceBytes is how much of a result is encoded at a time.
const pieceBytes = 4 << 10

func writeError(w http.ResponseWriter, status int, errorType string, err error) {
	message := err.Error()
	if len(message) > maxMessage {
		message = strings.ToValidUTF8(message[:maxMessage], "") + "..."
	}
	writeJSON(w, status, errorResponse{Error: errorType, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}

// setWriteDeadline limits the time for writing the response, starting now. It replaces http.Server.WriteTimeout,
// which would include the time that the job ran.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// encodeAnswer writes an answer and its results, a piece at a time: encoded, results may have six times their size.
func encodeAnswer(w http.ResponseWriter, status int, a job.Answer) {
	if len(a.Results) == 0 {
		writeJSON(w, status, newJobResponse(a))
		return
	}
	setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	out := &pieceWriter{w: w, until: time.Now().Add(writeTimeout)}
	out.encoder = json.NewEncoder(&out.piece)
	out.encoder.SetEscapeHTML(false)
	out.object(newJobResponse(a))
	for i, r := range a.Results {
		out.text([]string{`,"Results":[`, ","}[min(i, 1)])
		out.result(r)
	}
	out.text("]}\n")
	if out.err != nil {
		// Ends the connection, so that the client does not take what it has got for the whole response.
		panic(http.ErrAbortHandler)
	}
}

// pieceWriter encodes JSON in pieces. After an error it writes nothing.
type pieceWriter struct {
	w       io.Writer
	until   time.Time // when the response must be written
	err     error
	piece   bytes.Buffer
	encoder *json.Encoder // to piece
}

func (p *pieceWriter) write(data []byte) {
	if p.err == nil && time.Now().After(p.until) {
		p.err = &SlowReaderError{}
	}
	if p.err == nil {
		_, p.err = p.w.Write(data)
	}
}

func (p *pieceWriter) text(s string) { p.write([]byte(s)) }

// object writes an object without its closing brace.
func (p *pieceWriter) object(v any) {
	p.piece.Reset()
	_ = p.encoder.Encode(v) // of strings and numbers only
	p.write(bytes.TrimSuffix(p.piece.Bytes(), []byte("}\n")))
}

func (p *pieceWriter) result(r task.Result) {
	p.text(fmt.Sprintf(`{"Status":%d`, r.Status))
	switch {
	case len(r.Body) == 0:
	case utf8.Valid(r.Body):
		p.text(`,"Text":"`)
		for rest := r.Body; len(rest) > 0; {
			n := pieceLength(rest)
			p.piece.Reset()
			_ = p.encoder.Encode(string(rest[:n]))
			quoted := p.piece.Bytes()
			p.write(quoted[1 : len(quoted)-2]) // without quotes and the end of the line
			rest = rest[n:]
		}
		p.text(`"`)
	default:
		p.text(`,"Data":"`)
		encoder := base64.NewEncoder(base64.StdEncoding, writerFunc(p.write))
		for rest := r.Body; len(rest) > 0; {
			n := min(len(rest), pieceBytes)
			_, _ = encoder.Write(rest[:n])
			rest = rest[n:]
		}
		_ = encoder.Close()
		p.text(`"`)
	}
	p.text("}")
}

// pieceLength returns the length of a piece at the start of a valid text that ends with a whole character.
func pieceLength(text []byte) int {
	n := min(len(text), pieceBytes)
	for n < len(text) && !utf8.RuneStart(text[n]) {
		n--
	}
	return n
}

type writerFunc func([]byte)

// Write implements io.Writer. Errors are kept by the function.
func (f writerFunc) Write(data []byte) (int, error) {
	f(data)
	return len(data), nil
}

// SlowReaderError reports a client that has not read a response in time.
type SlowReaderError struct{}

// Error implements error.
func (*SlowReaderError) Error() string {
	return fmt.Sprintf("write response: not read within %v", writeTimeout)
}

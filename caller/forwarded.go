package caller

import (
	"encoding/json"
	"io"
	"net/http"
)

const forwardBufferBytes = 16 << 10

type (
	// forwardedBody copies an answer from another data centre to the caller and
	// flushes each part as it arrives.
	forwardedBody struct{ source io.Reader }
)

// Read implements io.Reader. It is not used: goa calls WriteTo.
func (body *forwardedBody) Read(into []byte) (int, error) { return body.source.Read(into) }

// Close does nothing: the answer ends with the request's context.
func (body *forwardedBody) Close() error { return nil }

// WriteTo implements io.WriterTo. An aborted answer ends without its end mark,
// and the caller resumes it with the last event's id.
func (body *forwardedBody) WriteTo(writer io.Writer) (int64, error) {
	flush := func() {}
	if response, ok := writer.(http.ResponseWriter); ok {
		controller := http.NewResponseController(response)
		flush = func() { _ = controller.Flush() }
	}
	bytesWritten := int64(0)
	buffer := make([]byte, forwardBufferBytes)
	for {
		received, err := body.source.Read(buffer)
		if received > 0 {
			written, err := writer.Write(buffer[:received])
			bytesWritten += int64(written)
			if err != nil {
				return bytesWritten, nil // the caller disconnected
			}
			flush()
		}
		if err != nil {
			return bytesWritten, nil
		}
	}
}

// EncodeRefusal returns the status and the JSON body that describe an error.
func EncodeRefusal(err error) (status int, body []byte) {
	refusal := refusalFor(err)
	body, _ = json.Marshal(refusal) // a Refusal always encodes
	return refusal.Status, body
}

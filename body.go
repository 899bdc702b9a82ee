package greengageroute

import "bytes"

// Body is the body of a request in the parts in which it was read. Reading it into one slice
// would take twice its memory.
type Body [][]byte

// Len returns the number of bytes.
func (body Body) Len() int {
	length := 0
	for _, part := range body {
		length += len(part)
	}
	return length
}

// Bytes returns the body as one slice, a copy unless it has a single part.
func (body Body) Bytes() []byte {
	if len(body) == 1 {
		return body[0]
	}
	return bytes.Join(body, nil)
}

package upstream

import (
	"bytes"
	"encoding/binary"
	"strings"

	"github.com/gypsumyard/gypsumyard"
)

// headerLen is the size of a message header: the type byte and the length.
const headerLen = 5

// A Batch holds the messages of one request, which end with the only Query or
// Sync.
type Batch struct {
	messages []byte
	// leavesState indicates that the request may change the connection's
	// session state beyond what its command tags show: by a named statement, or
	// by a function that sets parameters or takes session locks.
	leavesState bool
}

// sessionWords are words in statements that leave session state on the
// connection although their command tag does not show it.
var sessionWords = [][]byte{[]byte("set_config"), []byte("advisory"), []byte("temp")}

// LeavesState reports whether the request may leave session state on the
// connection that its command tags do not show.
func (b Batch) LeavesState() bool { return b.leavesState }

// ParseBatch checks that the messages are one request: exactly one Query, or
// messages of the extended protocol that end with Sync. The Batch retains the
// slice.
func ParseBatch(messages []byte) (s Batch, err error) {
	s.messages = messages
	rest := messages
	for len(rest) > 0 {
		if len(rest) < headerLen {
			return s, gypsumyard.Errorf(gypsumyard.ClassProtocol, "truncated message")
		}
		kind, length := rest[0], int(binary.BigEndian.Uint32(rest[1:]))
		if length < headerLen-1 || length+1 > len(rest) {
			return s, gypsumyard.Errorf(gypsumyard.ClassProtocol, "message of type %q has a wrong length", kind)
		}
		body := rest[headerLen : length+1]
		rest = rest[length+1:]
		if err := checkKind(kind, len(rest) == 0); err != nil {
			return s, err
		}
		if leavesSessionState(kind, body) {
			s.leavesState = true
		}
	}
	if len(messages) == 0 {
		return s, gypsumyard.Errorf(gypsumyard.ClassProtocol, "request without messages")
	}
	return s, nil
}

func checkKind(kind byte, last bool) error {
	switch kind {
	case 'Q', 'S':
		if !last {
			return gypsumyard.Errorf(gypsumyard.ClassProtocol, "message of type %q inside a request", kind)
		}
	case 'P', 'B', 'D', 'E', 'C', 'H':
		if last {
			return gypsumyard.Errorf(gypsumyard.ClassProtocol, "request does not end with Query or Sync")
		}
	default:
		return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "message of type %q", kind)
	}
	return nil
}

func leavesSessionState(kind byte, body []byte) bool {
	switch kind {
	case 'P':
		return len(body) > 0 && body[0] != 0 || hasSessionWord(body)
	case 'Q':
		return hasSessionWord(body)
	}
	return false
}

func hasSessionWord(text []byte) bool {
	for _, w := range sessionWords {
		if containsFold(text, w) {
			return true
		}
	}
	return false
}

// containsFold reports whether text contains the lower-case word in any case.
func containsFold(text, word []byte) bool {
	for i := 0; i+len(word) <= len(text); i++ {
		if text[i]|0x20 == word[0] && bytes.EqualFold(text[i:i+len(word)], word) {
			return true
		}
	}
	return false
}

// preservesSessionState reports whether a statement with the command tag leaves
// the connection's session state unchanged.
func preservesSessionState(tag string) bool {
	verb, _, _ := strings.Cut(tag, " ")
	switch verb {
	case "SELECT", "INSERT", "UPDATE", "DELETE", "MERGE", "BEGIN", "START", "COMMIT",
		"ROLLBACK", "SAVEPOINT", "RELEASE", "SHOW", "EXPLAIN", "VALUES", "FETCH":
		return true
	}
	return false
}

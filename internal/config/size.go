package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// A Size is a number of bytes. In JSON it is a string with one of the units B,
// KiB, MiB and GiB, such as "64KiB".
type Size int64

var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"B", 1},
}

// MarshalJSON encodes the size in the largest unit that divides it.
func (s Size) MarshalJSON() ([]byte, error) {
	best := sizeUnits[len(sizeUnits)-1]
	for _, u := range sizeUnits[:len(sizeUnits)-1] {
		if s != 0 && int64(s)%u.bytes == 0 {
			best = u
		}
	}
	return json.Marshal(fmt.Sprintf("%d%s", int64(s)/best.bytes, best.name))
}

// UnmarshalJSON decodes a size with a unit.
func (s *Size) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("size must be text with a unit, such as \"64KiB\"")
	}
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			return fmt.Errorf("size %q is not a number with a unit", text)
		}
		*s = Size(n * u.bytes)
		return nil
	}
	return fmt.Errorf("size %q has none of the units B, KiB, MiB, GiB", text)
}

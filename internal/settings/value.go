// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

func text(dst *string) func(string) string {
	return func(v string) string {
		if v == "" {
			return "is empty"
		}
		*dst = v
		return ""
	}
}

func address(dst *netip.AddrPort) func(string) string {
	return func(v string) string {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return "want IP:PORT, got " + strconv.Quote(v)
		}
		*dst = a
		return ""
	}
}

func ip(dst *netip.Addr) func(string) string {
	return func(v string) string {
		a, err := netip.ParseAddr(v)
		if err != nil {
			return "want an IP address, got " + strconv.Quote(v)
		}
		*dst = a
		return ""
	}
}

func addresses(dst *[]netip.AddrPort) func(string) string {
	return func(v string) string {
		for part := range strings.SplitSeq(v, ",") {
			var a netip.AddrPort
			if fault := address(&a)(strings.TrimSpace(part)); fault != "" {
				return fault
			}
			*dst = append(*dst, a)
		}
		return ""
	}
}

// pairs parses NAME=VALUE pairs separated by commas.
func pairs(dst *map[string]string) func(string) string {
	return func(v string) string {
		out := map[string]string{}
		for part := range strings.SplitSeq(v, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
			if !ok || name == "" || value == "" || out[name] != "" {
				return "want NAME=VALUE,NAME=VALUE with each name once, got " + strconv.Quote(v)
			}
			out[name] = value
		}
		*dst = out
		return ""
	}
}

func webAddress(dst *string) func(string) string {
	return func(v string) string {
		u, err := url.Parse(v)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return "want http://IP:PORT, got " + strconv.Quote(v)
		}
		*dst = strings.TrimRight(v, "/")
		return ""
	}
}

func size(dst *int64, low, high int64) func(string) string {
	return func(v string) string {
		n, err := humanize.ParseBytes(v)
		if err != nil {
			return "want a size with its unit, such as 32MiB, got " + strconv.Quote(v)
		}
		if _, err := strconv.ParseFloat(v, 64); err == nil && v != "0" {
			return "want a unit, such as KiB or MiB, got " + strconv.Quote(v)
		}
		if n > uint64(high) || int64(n) < low {
			return "out of range " + humanize.IBytes(uint64(low)) + " to " + humanize.IBytes(uint64(high))
		}
		*dst = int64(n)
		return ""
	}
}

func duration(dst *time.Duration, low, high time.Duration) func(string) string {
	return func(v string) string {
		d, err := time.ParseDuration(v)
		if err != nil {
			return "want a time with its unit, such as 250ms, got " + strconv.Quote(v)
		}
		if d < low || d > high {
			return "out of range " + low.String() + " to " + high.String()
		}
		*dst = d
		return ""
	}
}

func count(dst *int, low, high int) func(string) string {
	return func(v string) string {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return "want a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high)
		}
		*dst = n
		return ""
	}
}

func oneOf[T ~string](dst *T, allowed ...T) func(string) string {
	return func(v string) string {
		if !slices.Contains(allowed, T(v)) {
			words := make([]string, len(allowed))
			for i, a := range allowed {
				words[i] = string(a)
			}
			return "want one of " + strings.Join(words, ", ") + ", got " + strconv.Quote(v)
		}
		*dst = T(v)
		return ""
	}
}

// number parses a number from low to high.
func number(v string, low, high float64) (float64, string) {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= low && f <= high) {
		text := func(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }
		return 0, "want a number from " + text(low) + " to " + text(high) + ", got " + strconv.Quote(v)
	}
	return f, ""
}

// decimal stores a number from low to high.
func decimal(dst *float64, low, high float64) func(string) string {
	return func(v string) string {
		f, fault := number(v, low, high)
		if fault == "" {
			*dst = f
		}
		return fault
	}
}

// share stores a number from 0 to 1.
func share(dst *float64) func(string) string { return decimal(dst, 0, 1) }

// boolean stores true or false.
func boolean(dst *bool) func(string) string {
	return func(v string) string {
		switch v {
		case "true":
			*dst = true
		case "false":
			*dst = false
		default:
			return "want true or false, got " + strconv.Quote(v)
		}
		return ""
	}
}

// processors stores a number of processors from 0.001 to 1000, in thousandths.
func processors(dst *uint32) func(string) string {
	return func(v string) string {
		f, fault := number(v, 0.001, 1000)
		if fault == "" {
			*dst = uint32(f * 1000)
		}
		return fault
	}
}

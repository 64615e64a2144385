// SPDX-License-Identifier: Apache-2.0

package rawanswer

import (
	"net/http"
	"strings"
	"time"
)

// Parts of answers.
const (
	ok      = "HTTP/1.1 200 OK\r\n{id}"
	sized   = ok + "Content-Length: 4\r\n"
	chunked = ok + "Transfer-Encoding: chunked\r\n"
	last    = "4\r\ndone\r\n0\r\n"
	// body is that of all answers.
	body = "done"
)

// Sizes of uploads in bytes: more than the kernel holds, and what is read of them before an early answer.
const (
	upload     = 2 << 20
	uploadRead = 4 << 10
)

// resetPause is long enough for an upload to be under way when its connection is reset.
const resetPause = 30 * time.Millisecond

// Forms returns all forms.
func Forms() []Form {
	var out []Form
	add := func(use Use, end End, name, text string) {
		out = append(out, Form{
			Name:   name,
			Method: http.MethodPost,
			Text:   text,
			End:    end,
			Use:    use,
			Status: http.StatusOK,
			Body:   body,
		})
	}
	for _, group := range []func(add addFunc){inOrder, statusLines, names, values, framings, chunks, stops, interims} {
		group(add)
	}
	return append(append(out, bodiless()...), resets()...)
}

type addFunc func(use Use, end End, name, text string)

// inOrder are answers that must reach the caller.
func inOrder(add addFunc) {
	add(UseMust, EndKeep, "length", sized+"\r\ndone")
	add(UseMust, EndKeep, "chunks", chunked+"\r\n"+last+"\r\n")
	add(UseMust, EndKeep, "chunks-with-trailer", chunked+"\r\n"+last+"X-Trailer: 1\r\n\r\n")
	add(UseMust, EndKeep, "chunk-extension", chunked+"\r\n4;a=\"b\"\r\ndone\r\n0\r\n\r\n")
	add(UseMust, EndClose, "no-length", ok+"\r\ndone")
	add(UseMust, EndClose, "http-1-0", "HTTP/1.0 200 OK\r\n{id}\r\ndone")
	add(UseMust, EndKeep, "no-reason", "HTTP/1.1 200\r\n{id}Content-Length: 4\r\n\r\ndone")
	add(UseMust, EndKeep, "line-feeds", strings.ReplaceAll(sized, "\r", "")+"\ndone")
	add(UseMust, EndKeep, "same-length-twice", sized+"Content-Length: 4\r\n\r\ndone")
	add(UseMust, EndKeep, "field-twice", sized+"X-Field: 1\r\nX-Field: 2\r\n\r\ndone")
	add(UseMust, EndKeep, "type-twice", sized+"Content-Type: a/b\r\nContent-Type: c/d\r\n\r\ndone")
	add(UseMust, EndKeep, "bytes-above-ascii", sized+"X-Field: \xe9\xff\r\n\r\ndone")
	add(UseMay, EndKeep, "surplus-bytes", sized+"\r\ndone, and more")
	add(UseMay, EndKeep, "surplus-answer", sized+"\r\ndone"+sized+"\r\nmore")
}

func statusLines(add addFunc) {
	form := func(name, line string) {
		add(UseNone, EndClose, name, line+"\r\n{id}Content-Length: 4\r\n\r\ndone")
	}
	form("status-000", "HTTP/1.1 000 OK")
	form("status-099", "HTTP/1.1 099 OK")
	form("status-plus-20", "HTTP/1.1 +20 OK")
	form("status-minus-20", "HTTP/1.1 -20 OK")
	form("status-600", "HTTP/1.1 600 OK")
	form("status-999", "HTTP/1.1 999 OK")
	form("status-2000", "HTTP/1.1 2000 OK")
	form("status-20", "HTTP/1.1 20 OK")
	form("status-text", "HTTP/1.1 2O0 OK")
	form("status-after-two-blanks", "HTTP/1.1  200 OK")
	form("status-after-tab", "HTTP/1.1\t200 OK")
	form("no-status", "HTTP/1.1")
	form("version-9-9", "HTTP/9.9 200 OK")
	form("version-2-0", "HTTP/2.0 200 OK")
	form("version-lower-case", "http/1.1 200 OK")
	form("another-protocol", "ICY 200 OK")
	form("reason-with-nul", "HTTP/1.1 200 O\x00K")
	form("reason-with-cr", "HTTP/1.1 200 O\rX: 1")
	form("change-of-protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: upgrade")
	add(UseNone, EndClose, "no-status-line", "{id}Content-Length: 4\r\n\r\ndone")
	add(UseNone, EndClose, "empty-line-first", "\r\n"+sized+"\r\ndone")
	add(UseNone, EndClose, "tls-alert", "\x15\x03\x01\x00\x02\x02\x28")
	add(UseNone, EndClose, "nothing", "")
	add(UseNone, EndReset, "reset-before-answer", "")
}

func names(add addFunc) {
	form := func(name, line string) {
		add(UseNone, EndKeep, name, sized+line+"\r\n\r\ndone")
	}
	form("name-with-blank", "X Odd: 1")
	form("name-with-tab", "X\tOdd: 1")
	form("name-with-control-byte", "X\x01Odd: 1")
	form("name-with-byte-above-ascii", "X\x80Odd: 1")
	form("name-with-cr", "X\rOdd: 1")
	form("name-empty", ": 1")
	form("line-without-colon", "odd")
	form("blank-before-colon", "X-Odd : 1")
	form("folded-line", "X-Odd: 1\r\n 2")
	add(UseNone, EndKeep, "folded-status-line", "HTTP/1.1 200 OK\r\n X: 1\r\n{id}Content-Length: 4\r\n\r\ndone")
	add(UseNone, EndClose, "blank-before-colon-of-length", ok+"Content-Length : 10\r\n\r\ndone")
	add(UseNone, EndClose, "blank-in-name-of-length", ok+"Content -Length: 10\r\n\r\ndone")
	add(UseNone, EndClose, "blank-before-colon-of-chunks", ok+"Transfer-Encoding : chunked\r\n\r\n"+last+"\r\n")
}

func values(add addFunc) {
	form := func(name, line string) {
		add(UseNone, EndKeep, name, sized+line+"\r\n\r\ndone")
	}
	form("value-with-nul", "X-Odd: a\x00b")
	form("value-with-delete", "X-Odd: a\x7fb")
	form("value-with-cr", "X-Odd: a\rX-Other: b")
	form("value-with-escape", "X-Odd: \x1b[2J")
	form("cr-cr-lf", "X-Odd: a\r")
	add(UseNone, EndClose, "carriage-returns", strings.ReplaceAll(sized, "\n", "")+"\rdone")
	add(UseNone, EndClose, "lf-cr", "HTTP/1.1 200 OK\n\r{id}Content-Length: 4\n\r\n\rdone")
}

func framings(add addFunc) {
	form := func(name, line string) {
		add(UseNone, EndClose, name, ok+line+"\r\n\r\ndone")
	}
	form("two-lengths", "Content-Length: 4\r\nContent-Length: 10")
	form("two-lengths-shorter-last", "Content-Length: 4\r\nContent-Length: 2")
	form("list-of-lengths", "Content-Length: 4, 4")
	form("length-plus-4", "Content-Length: +4")
	form("length-minus-4", "Content-Length: -4")
	form("length-hexadecimal", "Content-Length: 0x4")
	form("length-empty", "Content-Length:")
	form("length-with-blank", "Content-Length: 1 0")
	form("length-too-large", "Content-Length: 99999999999999999999")
	form("length-not-reached", "Content-Length: 10")
	form("encoding-unknown", "Transfer-Encoding: gzip, chunked")
	form("encoding-identity", "Transfer-Encoding: identity")
	form("encoding-empty", "Transfer-Encoding:")
	add(UseNone, EndClose, "length-beside-chunks", sized+"Transfer-Encoding: chunked\r\n\r\n"+last+"\r\n")
	add(UseNone, EndClose, "chunks-beside-length", chunked+"Content-Length: 4\r\n\r\n"+last+"\r\n")
	add(UseNone, EndClose, "chunks-twice", chunked+"Transfer-Encoding: chunked\r\n\r\n"+last+"\r\n")
	add(UseNone, EndClose, "chunks-in-http-1-0", strings.Replace(chunked, "1.1", "1.0", 1)+"\r\n"+last+"\r\n")
}

func chunks(add addFunc) {
	form := func(name, text string) {
		add(UseNone, EndClose, name, chunked+"\r\n"+text)
	}
	form("no-last-chunk", "4\r\ndone\r\n")
	form("no-last-empty-line", last)
	form("chunk-that-stops", "10\r\ndone")
	form("chunk-size-no-number", "x\r\ndone\r\n0\r\n\r\n")
	form("chunk-size-negative", "-4\r\ndone\r\n0\r\n\r\n")
	form("chunk-size-too-large", "ffffffffffffffff4\r\ndone\r\n0\r\n\r\n")
	form("chunk-size-with-prefix", "0x4\r\ndone\r\n0\r\n\r\n")
	form("chunk-longer-than-its-size", "4\r\ndonedone\r\n0\r\n\r\n")
	form("chunk-line-feeds", "4\ndone\n0\n\n")
	form("chunk-size-line-feed", "4\ndone\r\n0\r\n\r\n")
	form("chunk-size-cr", "4\rdone\r\n0\r\n\r\n")
	form("chunk-extension-with-nul", "4;a=\x00\r\ndone\r\n0\r\n\r\n")
	form("trailer-name-with-blank", last+"X Odd: 1\r\n\r\n")
	form("trailer-value-with-nul", last+"X-Odd: \x00\r\n\r\n")
	form("trailer-length", last+"Content-Length: 4\r\n\r\n")
	form("trailer-that-stops", last+"X-Odd: 1")
}

// stops are heads that end midway.
func stops(add addFunc) {
	form := func(name, text string) {
		add(UseNone, EndClose, "head-stops-"+name, text)
		add(UseNone, EndReset, "head-reset-"+name, text)
	}
	form("in-version", "HTTP/1.")
	form("in-status", "HTTP/1.1 20")
	form("after-status", "HTTP/1.1 200")
	form("after-cr-of-status-line", "HTTP/1.1 200 OK\r")
	form("after-status-line", "HTTP/1.1 200 OK\r\n")
	form("in-name", ok+"Content-Len")
	form("in-value", ok+"X-Field: val")
	form("after-fields", sized)
	form("in-empty-line", sized+"\r")
	add(UseNone, EndClose, "head-without-body", sized+"\r\n")
}

func interims(add addFunc) {
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	form := func(use Use, name, text string) {
		add(use, EndKeep, name, text+sized+"\r\ndone")
	}
	form(UseMust, "interim-100", "HTTP/1.1 100 Continue\r\n\r\n")
	form(UseMust, "interim-102", "HTTP/1.1 102 Processing\r\n\r\n")
	form(UseMust, "interim-103-twice", hints+hints)
	form(UseMay, "interim-with-length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 4\r\n\r\n")
	form(UseMay, "interim-199", "HTTP/1.1 199 Odd\r\n\r\n")
	form(UseNone, "interim-name-with-blank", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n")
	form(UseNone, "interim-101", "HTTP/1.1 101 Switching Protocols\r\n\r\n")
	form(UseNone, "interim-099", "HTTP/1.1 099 Odd\r\n\r\n")
	form(UseNone, "interims-too-many", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100))
	add(UseNone, EndClose, "interim-alone", hints)
	add(UseNone, EndClose, "interim-and-part-of-head", hints+sized)
	add(UseNone, EndReset, "interim-and-reset", hints)
}

// bodiless are answers that have no body by their status or by the method, with bytes that look like one.
func bodiless() []Form {
	var out []Form
	for _, f := range []Form{
		{
			Name:   "head",
			Method: http.MethodHead,
			Text:   sized + "\r\n",
			Use:    UseMust,
			Status: http.StatusOK,
		},
		{
			Name:   "head-with-body",
			Method: http.MethodHead,
			Text:   sized + "\r\ndone",
			Use:    UseMay,
			Status: http.StatusOK,
		},
		{
			Name:   "head-with-answer",
			Method: http.MethodHead,
			Text:   sized + "\r\n" + sized + "\r\ndone",
			Use:    UseMay,
			Status: http.StatusOK,
		},
		{
			Name:   "204",
			Method: http.MethodPost,
			Text:   "HTTP/1.1 204 No Content\r\n{id}\r\n",
			Use:    UseMust,
			Status: http.StatusNoContent,
		},
		{
			Name:   "204-with-body",
			Method: http.MethodPost,
			Text:   "HTTP/1.1 204 No Content\r\n{id}Content-Length: 4\r\n\r\ndone",
			Use:    UseMay,
			Status: http.StatusNoContent,
		},
		{
			Name:   "204-with-chunks",
			Method: http.MethodPost,
			Text:   "HTTP/1.1 204 No Content\r\n{id}Transfer-Encoding: chunked\r\n\r\n" + last + "\r\n",
			Use:    UseMay,
			Status: http.StatusNoContent,
		},
		{
			Name:   "304",
			Method: http.MethodGet,
			Text:   "HTTP/1.1 304 Not Modified\r\n{id}Content-Length: 4\r\n\r\n",
			Use:    UseMust,
			Status: http.StatusNotModified,
		},
		{
			Name:   "304-with-body",
			Method: http.MethodGet,
			Text:   "HTTP/1.1 304 Not Modified\r\n{id}Content-Length: 4\r\n\r\ndone",
			Use:    UseMay,
			Status: http.StatusNotModified,
		},
	} {
		out = append(out, f)
	}
	return out
}

// resets are answers without a length whose connection does not end in order, and others beside uploads.
func resets() []Form {
	phases := []struct {
		name  string
		text  string
		pause time.Duration
	}{
		{
			name:  "after-head",
			text:  ok + "\r\n",
			pause: resetPause,
		},
		{
			name: "after-head-at-once",
			text: ok + "\r\n",
		},
		{
			name:  "in-body",
			text:  ok + "\r\n" + body,
			pause: resetPause,
		},
		{
			name: "in-body-at-once",
			text: ok + "\r\n" + body,
		},
	}
	uploads := []struct {
		name string
		size int
		read int
	}{
		{
			name: "reset",
		},
		{
			name: "reset-after-upload",
			size: upload,
		},
		{
			name: "reset-beside-upload",
			size: upload,
			read: uploadRead,
		},
	}
	var out []Form
	for _, u := range uploads {
		for _, p := range phases {
			out = append(out, Form{
				Name:   u.name + "-" + p.name,
				Method: http.MethodPost,
				Upload: u.size,
				Read:   u.read,
				Text:   p.text,
				Pause:  p.pause,
				End:    EndReset,
				Status: http.StatusOK,
				Body:   body,
			})
		}
		// The orderly end may be read before the reset.
		out = append(out, Form{
			Name:   u.name + "-after-end",
			Method: http.MethodPost,
			Upload: u.size,
			Read:   u.read,
			Text:   ok + "\r\n" + body,
			End:    EndCloseReset,
			Use:    UseMay,
			Status: http.StatusOK,
			Body:   body,
		})
	}
	return append(out, Form{
		// The kernel resets a connection that is closed with unread bytes.
		Name:   "close-beside-upload",
		Method: http.MethodPost,
		Upload: upload,
		Read:   uploadRead,
		Text:   ok + "\r\n" + body,
		End:    EndClose,
		Use:    UseMay,
		Status: http.StatusOK,
		Body:   body,
	}, Form{
		Name:   "length-beside-upload",
		Method: http.MethodPost,
		Upload: upload,
		Read:   uploadRead,
		Text:   sized + "\r\ndone",
		Pause:  resetPause,
		End:    EndReset,
		Use:    UseMay,
		Status: http.StatusOK,
		Body:   body,
	})
}

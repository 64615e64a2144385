// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Load reads and checks a settings file. Every fault is an *Error; a file with a fault has
// no effect.
func Load(file string) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:             true,
		SkipUnrecognizableLines:  false,
		SpaceBeforeInlineComment: true,
	}, file)
	if err != nil {
		return nil, loadError(file, err)
	}
	s := defaults()
	fields := s.fields()
	if err := checkKnown(file, f, fields); err != nil {
		return nil, err
	}
	for _, fd := range fields {
		if err := s.readField(fd, file, f); err != nil {
			return nil, err
		}
	}
	return s, s.checkCombinations(file)
}

func loadError(file string, err error) *Error {
	kind := KindFile
	if ini.IsErrDelimiterNotFound(err) || strings.Contains(err.Error(), "unclosed") {
		kind = KindSyntax
	}
	return &Error{
		kind:  kind,
		file:  file,
		cause: err,
	}
}

func checkKnown(file string, f *ini.File, fields []field) error {
	for _, sec := range f.Sections() {
		known := slices.ContainsFunc(fields, func(fd field) bool { return fd.section == sec.Name() })
		if !known && (sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0) {
			return &Error{
				kind:    KindSection,
				file:    file,
				section: sec.Name(),
			}
		}
		for _, k := range sec.Keys() {
			if err := checkKey(file, sec.Name(), k, fields); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkKey(file, section string, k *ini.Key, fields []field) error {
	kind := Kind("")
	known := slices.ContainsFunc(fields, func(fd field) bool { return fd.section == section && fd.key == k.Name() })
	switch {
	case !known:
		kind = KindKey
	case len(k.ValueWithShadows()) > 1:
		kind = KindDuplicate
	default:
		return nil
	}
	return &Error{
		kind:    kind,
		file:    file,
		section: section,
		key:     k.Name(),
	}
}

// checkCombinations checks constraints between keys.
func (s *Settings) checkCombinations(file string) error {
	missing := func(section, key, why string) error {
		return &Error{
			kind:    KindMissing,
			file:    file,
			section: section,
			key:     key,
			detail:  why,
		}
	}
	if s.source == SourceDirectory && s.directory == "" {
		return missing("source", "directory", "kind is directory")
	}
	if s.source != SourceDirectory && s.platform == "" {
		return missing("source", "platform", "kind is "+string(s.source))
	}
	if len(s.seeds) > 0 && !s.peerListen.IsValid() {
		return missing("peers", "listen", "seeds are given")
	}
	set := 0
	for _, v := range []string{s.peerCert, s.peerKey, s.peerCA} {
		if v != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return missing("peers", "certificate, key, authority", "all three or none")
	}
	return nil
}

func (s *Settings) readField(fd field, file string, f *ini.File) error {
	sec := f.Section(fd.section)
	fault := &Error{
		file:    file,
		section: fd.section,
		key:     fd.key,
	}
	if !sec.HasKey(fd.key) {
		if !fd.required {
			return nil
		}
		fault.kind = KindMissing
		return fault
	}
	fault.detail = fd.set(sec.Key(fd.key).Value())
	if fault.detail == "" {
		return nil
	}
	fault.kind = KindValue
	if fd.fallback == nil {
		return fault
	}
	fd.fallback()
	s.warnings = append(s.warnings, fault)
	return nil
}

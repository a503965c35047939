// Package settings reads the settings of an instance from an INI file into
// checked types. All problems of a file are reported at once, each as
//
//	FILE:LINE: [section] key: what is wrong, allowed is what is allowed
//
// The grammar is a strict subset of the one that package inifile reads: one
// `key = value` per line, comments that start with # or ; (after a value only behind
// a space), no continuation lines, no quotes, and no repeated sections or keys.
// Unknown sections and keys are errors. A missing key is reported at the line of its
// section, or at line 1 if the section is missing too.
package settings

// Package inifile reads INI files and reports all mistakes of a file at once, each as
// FILE:LINE: [section] key: what is wrong, what is allowed.
//
// Values are read by gopkg.in/ini.v1. This package adds line numbers, finds repeated
// sections and keys, and rejects quoting and continuation lines, which the files of
// this project do not need.
package inifile

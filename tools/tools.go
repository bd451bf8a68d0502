// Package tools pins the formatter and the linter.
package tools

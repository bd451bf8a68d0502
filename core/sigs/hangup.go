//go:build cgo

package sigs

import "C" // for hangup.c

package main

// The platform runs programs that are linked against the system's C library: the build needs cgo.

import "C"

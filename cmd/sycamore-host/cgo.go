package main

// Importing C makes the build use cgo. The platform runs only programs that are linked against the system's C library.

import "C"

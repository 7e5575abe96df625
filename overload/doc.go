// Package overload tests that clients outside the limits do not end a process.
//
// Its tests build the program, start a control instance and an entry instance as processes
// of their own on loopback addresses, and put one shape of load on one port. They check that
// the process lives, that its resident memory and its descriptors stay under a bound, and
// that an ordinary request is answered while the load is still connected. They check no
// times and no shares of served requests. The package has no code besides its tests.
//
// # Usage
//
//	go test ./overload
package overload

package soak

// Regressions maps seeds that once had a finding to its cause. TestShortSoak runs
// them again every time.
var Regressions = map[uint64]string{
	104:   "the stand-in's unframed responses to stream requests were not event streams, and the check took them for parts of streams",
	112:   "the stand-in's extra responses had no request ID, and the check took them for responses to another request",
	32211: "a stream was on record with the version of an earlier start: the later one, under the same id, crashed before its first heartbeat",
	32003: "a stream went on at a target that had started again under its id with another version, before the entry instance learned of it",
	201:   "a target that had drained was started again under the same name, and the check took the requests to it for late requests to the drained one",
}

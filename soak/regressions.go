package soak

// Regressions maps seeds that once had a finding to its cause. Every run of the
// tests runs them again.
var Regressions = map[uint64]string{
	104: "the stand-in's unframed answers to streams were no streams, and the check took them for parts",
	112: "the stand-in's extra answers did not name the request, and the check took them for another's",
	201: "a target that had left started again under its name, and the check took the requests to it for late ones",
}

package watch

import "time"

// EntryContacts returns the time, on clock.Now, of the last request of each live entry instance, by
// incarnation.
func (s *Server) EntryContacts() map[string]time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entriesLocked()
	contacts := make(map[string]time.Duration, len(s.watchers))
	for incarnation, w := range s.watchers {
		if !w.control {
			contacts[incarnation] = w.lastContact
		}
	}
	return contacts
}

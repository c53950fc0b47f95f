package supervise

// refusalEvacuated is the reason with which starts are refused in an evacuated data centre.
const refusalEvacuated = "Evacuated"

// SetEvacuated sets whether operators have evacuated the data centre of the backend server. If they have, no run is
// started and no unanswered start is repeated. The runs continue.
func (s *Supervisor) SetEvacuated(evacuated bool) []Action {
	if s.evacuated == evacuated {
		return nil
	}
	s.evacuated = evacuated
	s.reportAll()
	return s.takeActions()
}

package configstate

// maxDecisions is the number of decisions that trim retains, when there are twice as
// many. At 3,200 changes per day, it covers more than a day.
const maxDecisions = 4096

// maxDecisionsWithYAML is the number of decisions retained with their YAML. With
// configurations of 7 KB (67 teams), they take about 7 MB.
const maxDecisionsWithYAML = 1024

// history holds the latest decisions, the newest of them with their YAML.
type history struct {
	decisions []Decision
	// positionByID maps a publication id to the position of its latest decision,
	// counted from the first decision ever added.
	positionByID map[string]int
	// removedCount is the number of decisions that trim has removed.
	removedCount int
}

// newHistory returns an empty history, for a new State.
func newHistory() *history {
	return &history{positionByID: map[string]int{}}
}

// add appends a decision and reports whether it is new. A decision on a known id is
// new only if the publication is accepted now and was not before; otherwise it is
// not added.
func (h *history) add(d Decision) bool {
	if position, ok := h.positionByID[d.Publish.ID]; ok {
		old := &h.decisions[position-h.removedCount]
		if old.Status == Accepted || d.Status != Accepted {
			return false
		}
	}
	h.positionByID[d.Publish.ID] = h.removedCount + len(h.decisions)
	h.decisions = append(h.decisions, d)
	if old := len(h.decisions) - 1 - maxDecisionsWithYAML; old >= 0 {
		h.decisions[old].Publish.YAML = ""
		h.decisions[old].PreviousYAML = ""
	}
	h.trim()
	return true
}

// trim removes the oldest half of the decisions when there are twice maxDecisions, so
// that the cost per decision is constant. add calls it.
func (h *history) trim() {
	if len(h.decisions) < 2*maxDecisions {
		return
	}
	drop := len(h.decisions) - maxDecisions
	for i, d := range h.decisions[:drop] {
		if h.positionByID[d.Publish.ID] == h.removedCount+i {
			delete(h.positionByID, d.Publish.ID)
		}
	}
	h.decisions = append([]Decision(nil), h.decisions[drop:]...)
	h.removedCount += drop
}

// byID returns the latest decision on a publication, and false if none is retained.
func (h *history) byID(id string) (Decision, bool) {
	position, ok := h.positionByID[id]
	if !ok {
		return Decision{}, false
	}
	return h.decisions[position-h.removedCount], true
}

// list returns a copy of the decisions, oldest first.
func (h *history) list() []Decision {
	return append([]Decision(nil), h.decisions...)
}

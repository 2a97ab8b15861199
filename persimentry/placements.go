package persimentry

import (
	"time"

	"persimmonport.example/persimplace"
	"persimmonport.example/persimwire"
)

// encodePlacements encodes placements; a host that is no hub sends only its own, since a hub
// gets those of others from them.
func encodePlacements(placements []persimplace.Placement, isHub bool) []*persimwire.PromptPlacement {
	list := make([]*persimwire.PromptPlacement, 0, len(placements))
	for _, placement := range placements {
		if !placement.Own && !isHub {
			continue
		}
		encoded := &persimwire.PromptPlacement{
			Upstream: placement.Upstream,
			AgeMs:    uint32(max(0, time.Since(placement.At).Milliseconds())),
		}
		for _, part := range placement.Parts {
			encoded.Parts = append(encoded.Parts, part.ID)
			encoded.Tokens = append(encoded.Tokens, uint32(max(0, part.Tokens)))
		}
		list = append(list, encoded)
	}
	return list
}

// decodePlacements leaves out placements whose parts and lengths don't match.
func decodePlacements(list []*persimwire.PromptPlacement) []persimplace.Placement {
	now := time.Now()
	placements := make([]persimplace.Placement, 0, len(list))
	for _, encoded := range list {
		if len(encoded.GetParts()) != len(encoded.GetTokens()) {
			continue
		}
		placement := persimplace.Placement{
			Upstream: encoded.GetUpstream(),
			At:       now.Add(-time.Duration(encoded.GetAgeMs()) * time.Millisecond),
		}
		for i, id := range encoded.GetParts() {
			placement.Parts = append(placement.Parts, persimplace.Part{ID: id, Tokens: int(encoded.GetTokens()[i])})
		}
		placements = append(placements, placement)
	}
	return placements
}

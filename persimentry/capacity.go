package persimentry

import (
	"math"

	"persimmonport.example/persimengine"
	"persimmonport.example/persimwire"
)

// numbersPerCell is the number of numbers that encode a cell: index, weight and sum.
const numbersPerCell = 3

func encodeCapacityEvidence(evidence persimengine.Evidence) []*persimwire.UpstreamEvidence {
	byUpstream := map[uint64]*persimwire.UpstreamEvidence{}
	list := make([]*persimwire.UpstreamEvidence, 0, len(evidence))
	for cell, tally := range evidence {
		message, ok := byUpstream[cell.Upstream]
		if !ok {
			message = &persimwire.UpstreamEvidence{Upstream: cell.Upstream}
			byUpstream[cell.Upstream] = message
			list = append(list, message)
		}
		message.Cells = append(message.Cells, int32(cell.Index), saturate(tally.Weight), saturate(tally.Sum))
	}
	return list
}

// saturate returns a number within the range of the wire.
func saturate(n int64) int32 { return int32(min(max(n, math.MinInt32), math.MaxInt32)) }

// decodeCapacityEvidence leaves out cells that no host of this version sends.
func decodeCapacityEvidence(list []*persimwire.UpstreamEvidence) persimengine.Evidence {
	evidence := make(persimengine.Evidence, len(list))
	for _, message := range list {
		for cells := message.GetCells(); len(cells) >= numbersPerCell; cells = cells[numbersPerCell:] {
			index, tally := int(cells[0]), persimengine.Tally{Weight: int64(cells[1]), Sum: int64(cells[2])}
			if index >= 0 && index < persimengine.CellCount && tally.Valid() {
				evidence[persimengine.Cell{Upstream: message.GetUpstream(), Index: index}] = tally
			}
		}
	}
	return evidence
}

package persimentry

import (
	"time"

	"persimmonport.example/persimrollout"
	"persimmonport.example/persimwire"
)

// maxRolloutItems is the number of rollouts, closed versions or counts in a message above
// which the rest is left out. It bounds what one message can make a host keep.
const maxRolloutItems = 4096

func encodeRolloutNews(news []persimrollout.News) []*persimwire.RolloutNews {
	list := make([]*persimwire.RolloutNews, 0, len(news))
	for _, n := range news {
		list = append(list, &persimwire.RolloutNews{
			Service: n.Service, Target: n.Target, Revision: n.Revision, DurationMs: n.Duration.Milliseconds(),
			Phase: uint32(n.Phase), Fence: n.Fence, Sequence: n.Sequence,
			ElapsedMs: n.Elapsed.Milliseconds(), AgeMs: encodeProofAge(n.Age), Rate: n.Rate, Closed: n.Closed,
		})
	}
	return list
}

func decodeRolloutNews(list []*persimwire.RolloutNews) []persimrollout.News {
	news := make([]persimrollout.News, 0, len(list))
	for _, n := range list[:min(len(list), maxRolloutItems)] {
		news = append(news, persimrollout.News{
			Order: persimrollout.Order{
				Service: n.GetService(), Target: n.GetTarget(), Revision: n.GetRevision(),
				Duration: time.Duration(n.GetDurationMs()) * time.Millisecond,
			},
			Phase: persimrollout.Phase(n.GetPhase()), Fence: n.GetFence(), Sequence: n.GetSequence(),
			Elapsed: time.Duration(n.GetElapsedMs()) * time.Millisecond, Age: time.Duration(n.GetAgeMs()) * time.Millisecond,
			Rate: n.GetRate(), Closed: n.GetClosed()[:min(len(n.GetClosed()), maxRolloutItems)],
		})
	}
	return news
}

func encodeRolloutReports(reports []persimrollout.Report) []*persimwire.RolloutReport {
	list := make([]*persimwire.RolloutReport, 0, len(reports))
	for _, r := range reports {
		report := &persimwire.RolloutReport{
			Service: r.Service, Target: r.Target, Revision: r.Revision, Phase: uint32(r.Phase), OnOld: int64(r.OnOld),
		}
		for _, c := range r.Counts {
			report.Counts = append(report.Counts, &persimwire.RolloutCount{
				Side: uint32(c.Side), Route: c.Route, Centre: c.Centre, Upstream: c.Upstream,
				Begun: c.Begun, Ended: c.Ended, Failed: c.Failed,
				First: encodeHistogram(c.First), Pace: encodeHistogram(c.Pace),
			})
		}
		list = append(list, report)
	}
	return list
}

func decodeRolloutReports(list []*persimwire.RolloutReport) []persimrollout.Report {
	reports := make([]persimrollout.Report, 0, len(list))
	for _, r := range list[:min(len(list), maxRolloutItems)] {
		report := persimrollout.Report{
			Service: r.GetService(), Target: r.GetTarget(), Revision: r.GetRevision(),
			Phase: persimrollout.Phase(r.GetPhase()), OnOld: int(r.GetOnOld()),
		}
		for _, c := range r.GetCounts()[:min(len(r.GetCounts()), maxRolloutItems)] {
			report.Counts = append(report.Counts, persimrollout.Count{
				Side: persimrollout.Side(c.GetSide()), Route: c.GetRoute(), Centre: c.GetCentre(), Upstream: c.GetUpstream(),
				Begun: c.GetBegun(), Ended: c.GetEnded(), Failed: c.GetFailed(),
				First: decodeHistogram(c.GetFirst()), Pace: decodeHistogram(c.GetPace()),
			})
		}
		reports = append(reports, report)
	}
	return reports
}

// encodeHistogram returns nil if nothing was counted.
func encodeHistogram(histogram persimrollout.Histogram) []uint32 {
	if histogram == (persimrollout.Histogram{}) {
		return nil
	}
	return histogram[:]
}

func decodeHistogram(list []uint32) persimrollout.Histogram {
	var histogram persimrollout.Histogram
	copy(histogram[:], list)
	return histogram
}

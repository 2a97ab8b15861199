package persimentry

import (
	"time"

	"persimmonport.example/persimclock"
	"persimmonport.example/persimduty"
	"persimmonport.example/persimengine"
	"persimmonport.example/persimfront"
	"persimmonport.example/persimhub"
	"persimmonport.example/persimplace"
	"persimmonport.example/persimwire"
)

func encodeLoads(loads map[uint64]persimplace.PeerLoad) []*persimwire.UpstreamLoad {
	list := make([]*persimwire.UpstreamLoad, 0, len(loads))
	for upstream, load := range loads {
		list = append(list, &persimwire.UpstreamLoad{
			Upstream: upstream,
			Requests: uint32(max(0, load.Requests)),
			Urgent:   uint32(max(0, load.Urgent)),
			Normal:   uint32(max(0, load.Normal)),
		})
	}
	return list
}

func decodeLoads(list []*persimwire.UpstreamLoad) map[uint64]persimplace.PeerLoad {
	loads := make(map[uint64]persimplace.PeerLoad, len(list))
	for _, load := range list {
		loads[load.GetUpstream()] = persimplace.PeerLoad{
			Requests: int(load.GetRequests()),
			Urgent:   int(load.GetUrgent()),
			Normal:   int(load.GetNormal()),
		}
	}
	return loads
}

// encodeReports encodes the reports; the time of each one is sent as an age.
func encodeReports(reports map[uint64]persimplace.TimedReport) []*persimwire.UpstreamReport {
	list := make([]*persimwire.UpstreamReport, 0, len(reports))
	for upstream, report := range reports {
		list = append(list, &persimwire.UpstreamReport{
			Upstream: upstream,
			Running:  uint32(max(0, report.Running)),
			Waiting:  uint32(max(0, report.Waiting)),
			Slots:    uint32(max(0, report.Slots)),
			Slowdown: uint32(max(0, report.Slowdown*slowdownScale)),
			AgeMs:    uint32(max(0, time.Since(report.At).Milliseconds())),
		})
	}
	return list
}

// slowdownScale is the number of wire units per unit of slowdown: slowdowns are sent
// in hundredths.
const slowdownScale = 100

func decodeReports(list []*persimwire.UpstreamReport) map[uint64]persimplace.TimedReport {
	reports := make(map[uint64]persimplace.TimedReport, len(list))
	now := time.Now()
	for _, report := range list {
		reports[report.GetUpstream()] = persimplace.TimedReport{
			Report: persimplace.Report{
				Running:  int(report.GetRunning()),
				Waiting:  int(report.GetWaiting()),
				Slots:    int(report.GetSlots()),
				Slowdown: float64(report.GetSlowdown()) / slowdownScale,
			},
			At: now.Add(-time.Duration(report.GetAgeMs()) * time.Millisecond),
		}
	}
	return reports
}

func encodeDemand(demand map[string]persimfront.Demand) map[string]*persimwire.Demand {
	encoded := make(map[string]*persimwire.Demand, len(demand))
	for service, d := range demand {
		encoded[service] = &persimwire.Demand{
			Tokens: d.PrefillTokens, Output: d.OutputTokens, Refused: d.Refused, Requests: d.Requests,
			Busy: d.Busy, Speed: encodeSpeed(d.Speed), Ranked: encodeRanked(d.Ranked),
		}
	}
	return encoded
}

func decodeDemand(demand map[string]*persimwire.Demand) map[string]persimfront.Demand {
	decoded := make(map[string]persimfront.Demand, len(demand))
	for service, d := range demand {
		decoded[service] = persimfront.Demand{
			PrefillTokens: d.GetTokens(), OutputTokens: d.GetOutput(), Refused: d.GetRefused(), Requests: d.GetRequests(),
			Busy: d.GetBusy(), Speed: decodeSpeed(d.GetSpeed()), Ranked: decodeRanked(d.GetRanked()),
		}
	}
	return decoded
}

// encodeSpeed returns nil for a speed that is not known.
func encodeSpeed(speed persimengine.Speed) *persimwire.EngineSpeed {
	if speed == (persimengine.Speed{}) {
		return nil
	}
	return &persimwire.EngineSpeed{
		FirstByteNs:   speed.FirstByte.Nanoseconds(),
		PromptTokenNs: speed.PromptToken.Nanoseconds(),
		OutputTokenNs: speed.OutputToken.Nanoseconds(),
		RunNs:         speed.Run.Nanoseconds(),
	}
}

func decodeSpeed(speed *persimwire.EngineSpeed) persimengine.Speed {
	return persimengine.Speed{
		FirstByte:   time.Duration(speed.GetFirstByteNs()),
		PromptToken: time.Duration(speed.GetPromptTokenNs()),
		OutputToken: time.Duration(speed.GetOutputTokenNs()),
		Run:         time.Duration(speed.GetRunNs()),
	}
}

// addReport adds the state of a host to a message.
func addReport(message *persimwire.Exchange, report persimhub.Report) {
	message.UptimeMs = report.Uptime.Milliseconds()
	message.Admitted = report.Admitted
	message.Unheard = report.Unheard
	message.Loads = encodeLoads(report.Loads)
	message.Evidence = encodeCapacityEvidence(report.Evidence)
	message.Windows = encodeWindows(report.Windows)
}

// decodeReport returns the state of the host that sent a message.
func decodeReport(message *persimwire.Exchange) persimhub.Report {
	busy := make(map[string]float64, len(message.GetDemand()))
	for service, demand := range message.GetDemand() {
		busy[service] = demand.GetBusy()
	}
	ranked := rankedDemand(decodeDemand(message.GetDemand()))
	admitted := persimhub.Totals(message.GetAdmitted())
	if admitted == nil {
		admitted = persimhub.Totals{}
	}
	return persimhub.Report{
		Incarnation: message.GetIncarnation(),
		Uptime:      time.Duration(message.GetUptimeMs()) * time.Millisecond,
		Admitted:    admitted,
		Unheard:     message.GetUnheard(),
		Loads:       decodeLoads(message.GetLoads()),
		Evidence:    decodeCapacityEvidence(message.GetEvidence()),
		Busy:        busy,
		Ranked:      ranked,
		Windows:     decodeWindows(message.GetWindows()),
	}
}

func encodeSum(sum persimhub.Sum) *persimwire.Sum {
	return &persimwire.Sum{
		Source:   sum.Source,
		UptimeMs: sum.Uptime.Milliseconds(),
		Hosts:    int64(sum.Hosts),
		AgeMs:    sum.Age.Milliseconds(),
		Admitted: sum.Admitted,
		Loads:    encodeLoads(sum.Loads),
		Evidence: encodeCapacityEvidence(sum.Evidence),
		Busy:     sum.Busy,
		Ranked:   encodeRankedSum(sum.Ranked),
		Windows:  encodeWindows(sum.Windows),
	}
}

func decodeSum(sum *persimwire.Sum) persimhub.Sum {
	return persimhub.Sum{
		Source:   sum.GetSource(),
		Uptime:   time.Duration(sum.GetUptimeMs()) * time.Millisecond,
		Hosts:    int(sum.GetHosts()),
		Age:      time.Duration(sum.GetAgeMs()) * time.Millisecond,
		Admitted: sum.GetAdmitted(),
		Loads:    decodeLoads(sum.GetLoads()),
		Evidence: decodeCapacityEvidence(sum.GetEvidence()),
		Busy:     sum.GetBusy(),
		Ranked:   decodeRankedSum(sum.GetRanked()),
		Windows:  decodeWindows(sum.GetWindows()),
	}
}

func encodeWindows(windows map[int64]persimduty.Counts) []*persimwire.UsageWindow {
	list := make([]*persimwire.UsageWindow, 0, len(windows))
	for window, counts := range windows {
		countsCopy := make(map[string]int64, len(counts))
		for organisation, count := range counts {
			countsCopy[organisation] = count
		}
		list = append(list, &persimwire.UsageWindow{Window: window, Counts: countsCopy})
	}
	return list
}

func decodeWindows(list []*persimwire.UsageWindow) map[int64]persimduty.Counts {
	windows := make(map[int64]persimduty.Counts, len(list))
	for _, window := range list {
		windows[window.GetWindow()] = window.GetCounts()
	}
	return windows
}

// encodeProofAge returns the age of a proof in milliseconds, rounded up: a proof that passes
// from host to host must not get younger on its way.
func encodeProofAge(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// decodeSpan returns the span in which the store could be read that a snapshot tells of.
// Its end and the earliest return of the store are no later than in truth, its start is no
// earlier, whenever between two instants the other host wrote the snapshot.
func decodeSpan(snapshot *persimwire.Snapshot, sent, received persimclock.Instant) readableSpan {
	before := func(at persimclock.Instant, ageMs int64) persimclock.Instant {
		return at.Add(-time.Duration(ageMs) * time.Millisecond)
	}
	until := before(sent, snapshot.GetAgeMs())
	since := until
	if snapshot.GetReadableMs() > snapshot.GetAgeMs() {
		since = min(until, before(received, snapshot.GetReadableMs()))
	}
	return readableSpan{since: since, until: until, returned: min(since, before(sent, max(snapshot.GetReturnedMs(), snapshot.GetAgeMs())))}
}

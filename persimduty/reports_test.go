package persimduty

import (
	"testing"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimrevision"
)

// reportStep is a step of a case of TestReportsOverDrills.
type reportStep func(t *testing.T, r Reports)

// read reads the record of a case in a tenure.
func read(tenure int, firstOpen int64, record ReportRecord, revision persimrevision.Revision) reportStep {
	return func(_ *testing.T, r Reports) { r.Observe(tenure, firstOpen, record, revision) }
}

// store writes the counts of a window; at revision zero the response is lost.
func store(window, count int64, at persimrevision.Revision) reportStep {
	return func(t *testing.T, r Reports) {
		action, counts := r.Decide(window)
		require.Equal(t, ReportSum, action)
		if counts == nil {
			counts = Counts{"o": count}
		}
		record, _ := r.Propose(window, counts)
		if at != (persimrevision.Revision{}) {
			r.ConfirmWrite(record, at)
		}
	}
}

func withdraw(window int64) reportStep {
	return func(_ *testing.T, r Reports) { r.Withdraw(window) }
}

func accept(window int64) reportStep { return func(_ *testing.T, r Reports) { r.Accept(window) } }

func merge(window, count int64) reportStep {
	return func(_ *testing.T, r Reports) { r.Merge(map[int64]Counts{window: {"o": count}}) }
}

// Guards against two reports of a window with different counts after the store came back from a
// copy without the first one.
func TestReportsOverDrills(t *testing.T) {
	record := func(era persimrevision.Era, completeFrom int64, windows ...int64) ReportRecord {
		r := ReportRecord{Era: era, CompleteFrom: completeFrom, Windows: map[int64]Counts{}}
		for _, window := range windows {
			r.Windows[window] = Counts{"o": window}
		}
		return r
	}
	type decision struct {
		action ReportAction
		count  int64
	}
	nothing, sum := decision{ReportNothing, 0}, decision{ReportSum, 0}
	again := func(count int64) decision { return decision{ReportAgain, count} }
	tests := map[string]struct {
		steps []reportStep
		want  map[int64]decision
	}{
		"store without an era, nothing stored": {
			[]reportStep{read(1, 50, ReportRecord{}, inEra(0, 0))},
			map[int64]decision{7: sum},
		},
		"stored by a former holder in this era": {
			[]reportStep{read(1, 50, record(2, 6, 7), inEra(2, 9))},
			map[int64]decision{5: nothing, 6: sum, 7: again(7), 8: sum},
		},
		"first holder of an era": {
			[]reportStep{read(1, 9, record(1, 2, 7), inEra(2, 9))},
			map[int64]decision{6: nothing, 7: again(7), 8: nothing, 9: sum},
		},
		"first holder of an era, no record in the copy": {
			[]reportStep{read(1, 9, ReportRecord{}, inEra(2, 0))},
			map[int64]decision{8: nothing, 9: sum},
		},
		"first holder of an era that knows a report from another host": {
			[]reportStep{merge(8, 80), read(1, 9, record(1, 2, 7), inEra(2, 9))},
			map[int64]decision{6: nothing, 7: again(7), 8: again(80), 9: sum},
		},
		"holder before and after a drill": {
			[]reportStep{read(1, 0, record(1, 2, 7), inEra(1, 9)), store(8, 80, inEra(1, 10)), read(1, 50, record(1, 2), inEra(2, 5))},
			map[int64]decision{6: sum, 7: again(7), 8: again(80), 9: sum},
		},
		"holder before and after a drill, accepted": {
			[]reportStep{read(1, 0, record(1, 2), inEra(1, 9)), store(8, 80, inEra(1, 10)), accept(8), read(1, 50, record(1, 2), inEra(2, 5))},
			map[int64]decision{8: nothing, 9: sum},
		},
		"holder before and after two drills": {
			[]reportStep{read(1, 0, record(1, 2), inEra(1, 9)), store(8, 80, inEra(1, 10)), read(1, 50, record(1, 2), inEra(2, 5)), read(1, 60, ReportRecord{}, inEra(3, 0))},
			map[int64]decision{8: again(80), 9: sum},
		},
		"holder that lost the lease beside a drill": {
			[]reportStep{read(1, 0, record(1, 2), inEra(1, 9)), store(8, 80, inEra(1, 10)), read(2, 10, record(1, 2), inEra(2, 5))},
			map[int64]decision{8: again(80), 9: nothing, 10: sum},
		},
		"response to a write is lost": {
			[]reportStep{read(1, 0, record(1, 2), inEra(1, 9)), store(8, 80, inEra(0, 0)), read(1, 0, record(1, 2), inEra(1, 9))},
			map[int64]decision{8: {ReportSum, 80}},
		},
		"write is refused": {
			[]reportStep{read(1, 0, record(1, 2), inEra(1, 9)), store(8, 80, inEra(0, 0)), withdraw(8)},
			map[int64]decision{8: sum},
		},
		"response to a write is lost, the next write is refused": {
			[]reportStep{read(1, 0, record(1, 2), inEra(1, 9)), store(8, 80, inEra(0, 0)), store(8, 81, inEra(0, 0)), withdraw(8)},
			map[int64]decision{8: {ReportSum, 80}},
		},
		"write was carried out, response lost": {
			[]reportStep{read(1, 0, record(1, 2), inEra(1, 9)), store(8, 80, inEra(0, 0)), read(1, 0, record(1, 2, 8), inEra(1, 10))},
			map[int64]decision{8: again(8)},
		},
		"write is carried out in a later era": {
			[]reportStep{read(1, 0, record(1, 2), inEra(1, 9)), store(8, 80, inEra(2, 10))},
			map[int64]decision{8: {ReportSum, 80}},
		},
		"late response of a former era": {
			[]reportStep{read(1, 9, record(2, 9), inEra(2, 9)), read(1, 0, record(1, 0), inEra(1, 20))},
			map[int64]decision{8: nothing, 9: sum},
		},
		"record of an older version": {
			[]reportStep{read(1, 9, record(0, 0, 7), inEra(1, 9))},
			map[int64]decision{7: again(7), 8: nothing, 9: sum},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewReports()
			for _, step := range test.steps {
				step(t, r)
			}
			for window, want := range test.want {
				action, counts := r.Decide(window)
				require.Equal(t, want, decision{action, counts["o"]}, "window %d", window)
			}
		})
	}
}

// Guards against a window that is reported anew since its report was dropped for newer ones.
func TestDroppedReportsAreNotSummedAnew(t *testing.T) {
	r := NewReports()
	r.Observe(1, 0, ReportRecord{Era: 1}, inEra(1, 1))
	for window := range int64(retainedReports + 3) {
		store(window, window, inEra(1, 2+window))(t, r)
	}
	for window := range int64(3) {
		action, _ := r.Decide(window)
		require.Equal(t, ReportNothing, action, "window %d", window)
	}
	action, _ := r.Decide(3)
	require.Equal(t, ReportAgain, action)
	record, _ := r.Propose(retainedReports+3, Counts{"o": 1})
	require.Len(t, record.Windows, retainedReports)
	require.EqualValues(t, 4, record.CompleteFrom)
}

func TestReportsAreLoadedOnceInATenure(t *testing.T) {
	r := NewReports()
	require.False(t, r.Loaded(1))
	r.Observe(1, 0, ReportRecord{}, inEra(1, 1))
	require.True(t, r.Loaded(1))
	require.False(t, r.Loaded(2))
	r.Unload()
	require.False(t, r.Loaded(1))
}

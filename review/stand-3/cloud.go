package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// dutyCall is a call that only the holder of a duty may make.
type dutyCall struct {
	at      time.Time
	duty    string
	subject string
	holder  string
	fence   int64
	window  int64
	counts  map[string]int64
	status  int
}

// cloud is the platform's API of the duties, with fences enforced.
type cloud struct {
	record *record

	mu     sync.Mutex
	fences map[string]int64
	calls  []dutyCall
}

func newCloud(r *record) *cloud { return &cloud{record: r, fences: map[string]int64{}} }

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in struct {
		Window  int64            `json:"window"`
		Counts  map[string]int64 `json:"counts"`
		Service string           `json:"service"`
		Zone    string           `json:"zone"`
		Desired int              `json:"desired"`
	}
	fence, errFence := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if json.Unmarshal(data, &in) != nil || errFence != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := dutyCall{
		at: time.Now(), duty: r.URL.Path, holder: r.Header.Get("X-Duty-Holder"), fence: fence,
		window: in.Window, counts: in.Counts, status: http.StatusOK,
	}
	// All windows form one subject, and so does a service with a zone.
	if call.duty == "/scale" {
		call.subject = in.Service + " in " + in.Zone
	}
	c.mu.Lock()
	key := call.duty + " " + call.subject
	if fence < c.fences[key] {
		call.status = http.StatusConflict
	} else {
		c.fences[key] = fence
	}
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.record.add("%s %s holder %s fence %d -> %d   %s", r.Method, call.duty, call.holder, fence, call.status, data)
	w.WriteHeader(call.status)
}

func (c *cloud) list() []dutyCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]dutyCall(nil), c.calls...)
}

// checkOne returns how the calls break the rule ONE.
func checkOne(calls []dutyCall) []string {
	var broken []string
	holders := map[string]string{}
	reports := map[int64]string{}
	for _, call := range calls {
		key := fmt.Sprintf("%s %s fence %d", call.duty, call.subject, call.fence)
		if known, ok := holders[key]; ok && known != call.holder {
			broken = append(broken, fmt.Sprintf("two holders send the same fencing token: %s: %s and %s", key, known, call.holder))
		}
		holders[key] = call.holder
		if call.duty != "/usage" || call.status != http.StatusOK {
			continue
		}
		data, _ := json.Marshal(call.counts)
		if known, ok := reports[call.window]; ok && known != string(data) {
			broken = append(broken, fmt.Sprintf("two reports were accepted for window %d: %s and %s (holder %s, fence %d)", call.window, known, data, call.holder, call.fence))
		} else if !ok {
			reports[call.window] = string(data)
		}
	}
	return broken
}

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeAnswerTime is the store's usual time for an answer.
const storeAnswerTime = 4 * time.Millisecond

// leaderPartition is the partition whose assignment the hosts use; the others are not followed here.
const leaderPartition = 0

// keyedRecord is one record of a topic whose name begins with "keyed.".
type keyedRecord struct {
	key    string
	value  []byte
	offset int64
}

// topic is a topic with one partition.
type topic struct {
	records []keyedRecord
	newest  map[string]keyedRecord
}

// member is a member of the group that was heard of last at seen.
type member struct {
	seen time.Time
	ttl  time.Duration
}

// store is a stand-in of the platform's metadata store. It is sound: every answer is
// linearizable and nothing that it acknowledged is lost.
type store struct {
	addr string
	srv  *http.Server

	mu     sync.Mutex
	topics map[string]*topic
	// changed is closed, and replaced, when a record is appended.
	changed    chan struct{}
	members    map[string]*member
	holder     string
	generation int64
}

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), topics: map[string]*topic{}, changed: make(chan struct{}), members: map[string]*member{}, generation: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("POST /api/log-join", s.join)
	mux.HandleFunc("POST /api/log-leave", s.leave)
	s.srv = &http.Server{Handler: mux}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// topicLocked returns a topic, which is created on first use.
func (s *store) topicLocked(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedRecord{}}
		s.topics[name] = t
	}
	return t
}

// put appends one record; a nil value drops the key. It serves the operator and the upstreams.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendLocked(s.topicLocked(topicName), []keyedRecord{{key: key, value: value}})
}

func (s *store) appendLocked(t *topic, recs []keyedRecord) {
	for _, r := range recs {
		r.offset = int64(len(t.records))
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// readRecords decodes the body of an append.
func readRecords(body []byte) ([]keyedRecord, bool) {
	var out []keyedRecord
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n < 1 || n > len(body) || 1+int(body[0]) > n {
			return nil, false
		}
		k := 1 + int(body[0])
		out = append(out, keyedRecord{key: string(body[1:k]), value: append([]byte(nil), body[k:n]...)})
		body = body[n:]
	}
	return out, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	recs, ok := readRecords(body)
	name := r.FormValue("Topic")
	switch {
	case err != nil || !ok:
		w.WriteHeader(http.StatusBadRequest)
		return
	case name == "keyed.op" || name == "keyed.servers":
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(name)
	first := int64(len(t.records))
	if at := r.FormValue("At"); at != "" && at != strconv.FormatInt(first, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"End": first})
		return
	}
	s.appendLocked(t, recs)
	writeJSON(w, http.StatusOK, map[string]int64{"Offset": first, "End": int64(len(t.records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("From"), 10, 64)
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.FormValue("WaitMs")) // 0 if it is left out
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		t, changed := s.topicLocked(r.FormValue("Topic")), s.changed
		recs := t.records[min(from, int64(len(t.records))):]
		end := len(t.records)
		s.mu.Unlock()
		if len(recs) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout.C:
			case <-r.Context().Done():
				return
			}
		}
		time.Sleep(storeAnswerTime)
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range recs {
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
			out = append(append(append(out, byte(len(rec.key))), rec.key...), rec.value...)
		}
		_, _ = w.Write(out)
		return
	}
}

// newestPage is the largest number of records in an answer to log-newest.
const newestPage = 500

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	type item struct {
		Key    string `json:"Key"`
		Value  string `json:"Value"`
		Offset int64  `json:"Offset"`
	}
	s.mu.Lock()
	t := s.topicLocked(r.FormValue("Topic"))
	items := []item{}
	for _, rec := range t.newest {
		if rec.key > r.FormValue("after") {
			items = append(items, item{rec.key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > newestPage
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), newestPage)], "More": more, "End": end})
}

// expireLocked drops members that sent nothing for their time, and finds a holder of the leader
// partition if there is none: the member whose name comes first.
func (s *store) expireLocked(now time.Time) {
	for name, m := range s.members {
		if now.Sub(m.seen) > m.ttl {
			delete(s.members, name)
			s.generation++
		}
	}
	if s.members[s.holder] != nil {
		return
	}
	s.holder = ""
	for name := range s.members {
		if s.holder == "" || name < s.holder {
			s.holder = name
		}
	}
}

type memberCall struct {
	Member string   `json:"Member"`
	Topics []string `json:"Topics"`
	TTL    string   `json:"Ttl_time"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call memberCall
	err := json.NewDecoder(r.Body).Decode(&call)
	ttl, ttlErr := time.ParseDuration(call.TTL)
	if err != nil || ttlErr != nil || len(call.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.members[call.Member] == nil {
		s.generation++
	}
	s.members[call.Member] = &member{now, ttl}
	s.expireLocked(now)
	parts := [][]any{}
	if s.holder == call.Member {
		parts = append(parts, []any{call.Topics[0], leaderPartition, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"Generation": s.generation, "Ttl_time": call.TTL, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var call memberCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[call.Member] != nil {
		delete(s.members, call.Member)
		s.generation++
	}
	s.expireLocked(time.Now())
	w.WriteHeader(http.StatusOK)
}

package storeserver

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"gypsumwinch/internal/cell"
)

// Topics and keys of the platform that operators and workers write.
const (
	configTopic  = cell.Topic("keyed.op")
	configKey    = "config"
	workersTopic = cell.Topic("keyed.servers")
	// OwnerTopic is the topic in which owners of the cell record their ownership.
	OwnerTopic = "keyed.gypsumwinch.owner"
	// ReadinessPath is the path of the readiness check of a VM.
	ReadinessPath = "/v1/readyz"
	// DeadlineHeader is how long a caller waits for a response, in ms.
	DeadlineHeader = "X-Gypsumwinch-Deadline-Ms"
	// keyHeader and keyScheme carry the key of a caller.
	keyHeader = "Authorization"
	keyScheme = "Bearer "
)

// SetKey adds a customer's key to a call.
func SetKey(header http.Header, key string) { header.Set(keyHeader, keyScheme+key) }

// Route is a queue of a configuration.
type Route struct {
	Name            string
	Host            string
	PathPrefix      string
	Service         string
	Priority        int
	MaxAttempts     int
	SlackFactor     float64
	TargetLatencyMs float64
	Advice          *Advice `json:",omitempty"`
	// Public is true if calls need no key.
	Public bool `json:",omitempty"`
}

// Customer is a customer of a configuration with its keys and its quota, of which 0 is no limit.
type Customer struct {
	Name     string
	Keys     []string
	Weight   float64
	MilliCPU int64
	MemoryMB int64
}

// Advice is the timing of the advice service of a queue.
type Advice struct {
	DecisionMs float64
	PerItemMs  float64
	ValidityMs float64
}

// PublishConfig writes a configuration without customers as an operator does.
func (s *Server) PublishConfig(version int64, routes []Route, service string) error {
	return s.publish(map[string]any{"Version": version, "Routes": routes, "Services": wireServices(service)})
}

// PublishCustomers writes a configuration with customers as an operator does.
func (s *Server) PublishCustomers(version int64, routes []Route, service string, customers []Customer) error {
	wire := make([]map[string]any, 0, len(customers))
	for _, c := range customers {
		wire = append(wire, map[string]any{
			"Name": c.Name, "ApiKeys": c.Keys, "Priority": 1, "Weight": c.Weight,
			"MaxCount": map[string]int64{"Cpu": c.MilliCPU, "MemMb": c.MemoryMB, "Gpu": 0},
		})
	}
	return s.publish(map[string]any{"Version": version, "Routes": routes, "Services": wireServices(service), "Tenants": wire})
}

func wireServices(service string) []map[string]any {
	return []map[string]any{{"Name": service, "AdmissionCheck": false}}
}

func (s *Server) publish(config map[string]any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return s.write(configTopic, configKey, value)
}

// WorkerEntry is what a worker writes about itself.
type WorkerEntry struct {
	ID       string
	Service  string
	Addr     string
	Zone     string
	MilliCPU int64
	MemoryMB int64
	Sequence int64
	Born     int64
}

// WriteWorker writes the entry of a worker, as it does itself at each heartbeat.
func (s *Server) WriteWorker(e WorkerEntry) error {
	value, err := json.Marshal(map[string]any{
		"Service": e.Service, "Address": e.Addr, "Zone": e.Zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": map[string]any{"Cpu": e.MilliCPU, "MemMb": e.MemoryMB, "Gpu": 0}, "Labels": []string{"kind", "rack"},
		"Sequence": e.Sequence, "born": e.Born,
	})
	if err != nil {
		return err
	}
	return s.WriteEntry(e.ID, value)
}

// WriteEntry writes an entry among those of the workers, as any writer may. Without a value the
// entry is removed.
func (s *Server) WriteEntry(id string, value []byte) error {
	return s.write(workersTopic, id, value)
}

func (s *Server) write(topic cell.Topic, key string, value []byte) error {
	return s.Store.Write(topic, cell.KeyValue{Key: key, Value: value})
}

// VMSettings are the settings of the process of one VM.
type VMSettings struct {
	Name string
	Zone string
	IP   string
	// CallerPort, ReadinessPort and PeerPort are the ports at IP; the port after PeerPort
	// serves metrics.
	CallerPort    int
	ReadinessPort int
	PeerPort      int
	StoreAddr     string
	AdviceAddr    string
	CPUShare      float64
	MaxLease      time.Duration
	Grace         time.Duration
	GangTimeout   time.Duration
	StopTimeout   time.Duration
	// QuotaOvershoot is the fraction by which customers may exceed their quota.
	QuotaOvershoot float64
	// MemoryMB and MaxFDs are the limits of the process; 0 stands for those of an ordinary VM.
	MemoryMB int
	MaxFDs   int
}

// Limits of an ordinary VM.
const (
	ordinaryMemoryMB = 284
	ordinaryMaxFDs   = 4100
)

// WriteFile writes the settings file of the process.
func (v VMSettings) WriteFile(path string) error {
	data, err := json.MarshalIndent(map[string]any{
		"NodeName": v.Name, "Zone": v.Zone, "Ip": v.IP,
		"InternalPortRange": []int{v.PeerPort, v.PeerPort + 1},
		"BindAddresses": map[string]string{
			"Frontend":  net.JoinHostPort(v.IP, strconv.Itoa(v.CallerPort)),
			"Readiness": net.JoinHostPort(v.IP, strconv.Itoa(v.ReadinessPort)),
		},
		"Limits":   map[string]any{"CpuShare": v.CPUShare, "Cores": 1, "MemoryMb": cmp.Or(v.MemoryMB, ordinaryMemoryMB), "MaxFds": cmp.Or(v.MaxFDs, ordinaryMaxFDs)},
		"Advice":   v.AdviceAddr,
		"platform": map[string]string{"Address": v.StoreAddr},
		"Bounds": map[string]any{
			"MaxHoldMs": v.MaxLease.Milliseconds(), "GraceS": v.Grace.Seconds(), "status_s": 120,
			"GangTimeoutMs": v.GangTimeout.Milliseconds(), "StopTimeoutMs": v.StopTimeout.Milliseconds(), "RemoteFactor": 2,
			"QuotaOvershoot": v.QuotaOvershoot,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// Forget drops the history of all topics but the newest record of each key.
func (s *Server) Forget() {
	for _, topic := range []cell.Topic{configTopic, workersTopic, OwnerTopic, "keyed.gypsumwinch.jobs", "keyed.gypsumwinch.progress"} {
		s.Store.Forget(topic)
	}
}

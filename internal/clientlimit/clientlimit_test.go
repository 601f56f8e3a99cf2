package clientlimit

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestPlanLetsLegalClientsIn guards against limits that clients of a site inside the
// platform's limits meet, and against ones that exceed the VM, on all sizes of VMs.
func TestPlanLetsLegalClientsIn(t *testing.T) {
	const largestBody = 262_144
	// The most expensive legal body: nearly all of it are dependencies of 1,000 steps.
	costliest := Shape{Bytes: largestBody, LongestList: 1000, Elements: largestBody / 2}.Cost()
	for _, vm := range []struct {
		memoryMB int64
		files    int
	}{{144, 3075}, {284, 4100}, {536, 10_250}, {536, 0}, {1, 1}} {
		is := is.New(t)
		p := NewPlan(vm.memoryMB, vm.files)
		lease := NewBudget(p.BodyBytes).Lease()
		is.True(lease.Grow(costliest))
		if vm.memoryMB == 1 {
			continue
		}
		is.True(p.BodyBytes*3/4/largestBody >= 50)
		is.True(p.CallerConns >= 2*255)
		// Bodies with as much garbage, and connections, leave a quarter of the memory and more.
		is.True(2*p.BodyBytes+int64(p.CallerConns+p.ReadinessConns)*connBytes < vm.memoryMB<<20*3/4)
		if vm.files > 0 {
			is.True(p.CallerConns+p.ReadinessConns+200 < vm.files/2)
		}
	}
}

// TestLargeBodiesLeaveRoomForSmallOnes guards ordinary submissions against a few large bodies
// that hold all the room.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 20)
	var leases []Lease
	for {
		l := b.Lease()
		if !l.Grow(100 << 10) {
			break
		}
		leases = append(leases, l)
	}
	is.Equal(len(leases), 7)
	small := b.Lease()
	is.True(small.Grow(600))
	is.True(small.Grow(5000))
	is.True(!small.Grow(100 << 10)) // a refused lease stays as it was
	is.Equal(b.Used(), int64(7*100<<10+5000))
	small.Release()
	for i := range leases {
		leases[i].Release()
		leases[i].Release()
	}
	is.Equal(b.Used(), int64(0))
}

// TestBudgetIsNeverExceeded guards against leases that are granted at the same time.
func TestBudgetIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10 * smallBytes)
	var wg sync.WaitGroup
	granted := make(chan bool, 100)
	for range cap(granted) {
		wg.Go(func() {
			l := b.Lease()
			granted <- l.Grow(smallBytes)
		})
	}
	wg.Wait()
	close(granted)
	n := 0
	for ok := range granted {
		if ok {
			n++
		}
	}
	is.True(n <= 10)
	is.Equal(b.Used(), int64(n*smallBytes))
}

// TestMeasure guards against bodies that are cheaper by their shape than decoded.
func TestMeasure(t *testing.T) {
	cases := []struct {
		document string
		want     Shape
	}{
		{``, Shape{}},
		{`{"a":"[,:{\"[\\"}`, Shape{Depth: 1, Fields: 1}},
		{`{"Phases":[{},{},{}]}`, Shape{Depth: 3, Fields: 1, Elements: 3, LongestList: 3}},
		{`{"x":[1,2],"y":[1,2,3],"z":{"w":[1,2,3,4]}}`, Shape{Depth: 3, Fields: 4, Elements: 9, LongestList: 3}},
		{`{"Phases":[{"DependsOn":[0,1,2],"Gang":true}]}`, Shape{Depth: 4, Fields: 3, Elements: 4, LongestList: 1}},
		{strings.Repeat("[", 100_000), Shape{Depth: MaxDepth + 1}},
	}
	for _, c := range cases {
		is := is.New(t)
		got := Measure([]byte(c.document))
		c.want.Bytes = int64(len(c.document))
		if c.want.Depth > MaxDepth {
			c.want.Elements, c.want.LongestList = got.Elements, got.LongestList
		}
		is.Equal(got, c.want)
	}
}

// FuzzMeasure compares the shape of valid documents with that of the decoded value.
func FuzzMeasure(f *testing.F) {
	for _, seed := range []string{`{"a":[1,2,{"b":"\\\""}],"c":[[],{}]}`, `[1,"x\\",[2]]`, `{"a":[[[]]],"\"":"["}`, `"`, `{}`, `}]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got := Measure(data)
		var value any
		if json.Unmarshal(data, &value) != nil || got.Depth > MaxDepth {
			return
		}
		fields, elements, depth := count(value)
		// Repeated names of fields are one field of the decoded value, with one value.
		if got.Fields < fields || got.Elements < elements || got.Depth < depth {
			t.Errorf("%q: %+v, decoded %d fields, %d elements, depth %d", data, got, fields, elements, depth)
		}
	})
}

// count returns the fields, the elements and the depth of a decoded document.
func count(value any) (fields, elements, depth int) {
	add := func(v any) {
		f, e, d := count(v)
		fields, elements, depth = fields+f, elements+e, max(depth, d)
	}
	switch v := value.(type) {
	case map[string]any:
		fields = len(v)
		for _, member := range v {
			add(member)
		}
		return fields, elements, depth + 1
	case []any:
		elements = len(v)
		for _, element := range v {
			add(element)
		}
		return fields, elements, depth + 1
	}
	return 0, 0, 0
}

func BenchmarkMeasure(b *testing.B) {
	body := []byte(`{"Spec":"` + strings.Repeat("x", 300) + `","Phases":[{"Count":4,"Cpu":500,"MemMb":256,"EstimatedMs":900,"DataRack":"r1"},{"Count":20,"Cpu":2000,"MemMb":1024,"EstimatedMs":7000,"DependsOn":[0],"Gang":true}]}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		Measure(body)
	}
}

// TestRefusedLeasesTakeNoRoom guards small submissions against large ones that are refused at
// the same moment: a lease that does not fit must not be counted for an instant either.
func TestRefusedLeasesTakeNoRoom(t *testing.T) {
	is := is.New(t)
	b := NewBudget(8 << 20)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					l := b.Lease()
					l.Grow(7 << 20)
				}
			}
		})
	}
	refused := 0
	for range 200_000 {
		l := b.Lease()
		if l.Grow(2 << 20) {
			l.Release()
		} else {
			refused++
		}
	}
	close(stop)
	wg.Wait()
	is.Equal(refused, 0)
}

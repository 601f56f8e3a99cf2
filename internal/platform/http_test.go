package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestOddVMsAreSkipped guards against one odd entry of the list of VMs for which the whole list
// was refused at each read, so that it was no longer followed, and against entries that are
// taken for VMs (issue 28).
func TestOddVMsAreSkipped(t *testing.T) {
	const good = `{"id":"a","data_centre":"dc","addr":"10.0.0.1:80","kind":"worker","state":"live","capacity":{"milli_cpu":1000}}`
	nested := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	for _, odd := range []string{
		"null", "7", "[]", "{}", `"x"`, nested, `{"id":7}`, `{"slots":1e300}`,
		strings.Replace(good, `"a"`, `""`, 1), strings.Replace(good, "10.0.0.1:80", "10.0.0.1:99999", 1), strings.Replace(good, "10.0.0.1:80", "nohost:80", 1),
		strings.Replace(good, "worker", "other", 1), strings.Replace(good, "live", "asleep", 1), strings.Replace(good, "1000", "-1", 1),
		strings.Replace(good, "1000", "18446744073709551616", 1), strings.Replace(good, `"kind"`, `"slots":-1,"kind"`, 1), strings.Replace(good, `"kind"`, `"rack":`+nested+`,"kind"`, 1),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"vms":[%s,%s,%s]}`, good, odd, strings.Replace(good, `"a"`, `"b"`, 1))
		}))
		vms, err := NewHTTPVMList(strings.TrimPrefix(server.URL, "http://"), HTTPOptions{}).List(context.Background())
		server.Close()
		if err != nil {
			t.Errorf("%.80s: %v", odd, err)
			continue
		}
		ids := ""
		for _, vm := range vms {
			ids += vm.ID + ","
		}
		if ids != "a,b," {
			t.Errorf("%.80s: the listed VMs are %q", odd, ids)
		}
	}
}

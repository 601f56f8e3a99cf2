package node

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestCustomerMetricsAreBounded guards against metrics that grow with each version of the
// configuration, and against refusals that do not show.
func TestCustomerMetricsAreBounded(t *testing.T) {
	is := is.New(t)
	n := New(Settings{Name: "vm"}, Ports{}, io.Discard)
	show := func() string {
		rec := httptest.NewRecorder()
		n.metrics.handler().ServeHTTP(rec, httptest.NewRequest("GET", "/", nil))
		return rec.Body.String()
	}
	const name = "gypsumwinch_customer_submissions_total"
	n.customerMetrics.keepOnly(&cell.Customers{List: []cell.Customer{{Name: "a"}}})
	n.customerMetrics.count("a", outcomeAccepted)
	n.customerMetrics.count("gone", outcomeStoreRefused)
	n.CountInvalidKey("q")
	is.True(strings.Contains(show(), name+`{customer="a",outcome="accepted"} 1`))
	is.True(strings.Contains(show(), name+`{customer="none",outcome="refused_store"} 1`))
	is.True(strings.Contains(show(), name+`{customer="none",outcome="refused_key"} 1`))
	n.customerMetrics.keepOnly(&cell.Customers{List: []cell.Customer{{Name: "b"}}})
	n.customerMetrics.count("a", outcomeAccepted)
	is.True(!strings.Contains(show(), `customer="a"`))
	n.customerMetrics.keepOnly(nil)
	is.True(strings.Contains(show(), `customer="none",outcome="accepted"} 1`))
}

package daemon

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"gypsumwinch/internal/callerapi"
	"gypsumwinch/internal/operatorapi"
)

// callerHandler returns the handler for callers, operators, health checks and
// metrics. Run calls it once at the start; the handlers themselves run on HTTP
// goroutines.
func (d *Daemon) callerHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.Recover())
	callerapi.Register(e, d, callerapi.Limits{
		MaxPayloadBytes: d.settings.Limits.MaxPayloadBytes,
		MaxTasks:        d.settings.Limits.MaxTasks,
	})
	operatorapi.Register(e, d)
	e.GET("/healthz", d.handleHealth)
	e.GET("/readyz", d.handleReady)
	e.GET("/metrics", echo.WrapHandler(d.metrics.handler()))
	return e
}

// handleHealth responds with 200 as long as the process serves HTTP.
func (d *Daemon) handleHealth(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// handleReady responds with 200 if the balancer should send callers to this VM,
// else with 503. It runs on the HTTP goroutine of each readiness probe of the
// balancer.
func (d *Daemon) handleReady(c echo.Context) error {
	if d.draining.Load() {
		return c.String(http.StatusServiceUnavailable, "draining\n")
	}
	if !d.view.Load().Ready {
		return c.String(http.StatusServiceUnavailable, "no configuration or no slots yet\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

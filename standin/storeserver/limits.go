package storeserver

import "encoding/json"

// ClientLimits are the limits of requests that a configuration states.
type ClientLimits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int
	HeaderTimeoutMs int
	IdleTimeoutMs   int
}

// PublishLimitedConfig writes a configuration that states limits of requests.
func (s *Server) PublishLimitedConfig(version int64, routes []Route, service string, limits ClientLimits) error {
	value, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Limits": limits,
		"Services": []map[string]any{{"Name": service, "AdmissionCheck": false}},
	})
	if err != nil {
		return err
	}
	return s.write(configTopic, configKey, value)
}

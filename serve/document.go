package serve

import (
	"auburnscale/catalog"
	"auburnscale/platform"
)

// decodeDocument decodes and checks a configuration document. With an error, the
// version is what could be read of it.
func decodeDocument(body []byte) (*catalog.Snapshot, uint64, error) {
	configuration, err := platform.DecodeConfiguration(body)
	if err != nil {
		return nil, configuration.Version, err
	}
	snapshot, findings := catalog.New(configuration)
	return snapshot, configuration.Version, findings.Err()
}

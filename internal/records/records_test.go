package records

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestDecodeUnknownRecordType guards against a VM that cannot read a stream past a
// record type that a VM with a newer version wrote.
func TestDecodeUnknownRecordType(t *testing.T) {
	is := is.New(t)
	r, err := Decode(json.RawMessage(`{"future":{"x":1}}`))
	is.NoErr(err)
	is.Equal(r, Record{})
}

// TestEncodeDecode guards against fields that get lost between Encode and Decode.
func TestEncodeDecode(t *testing.T) {
	is := is.New(t)
	want := Record{Claim: &Claim{DataCentre: "krk-a", VM: "e1", Instance: "i1", Addr: "127.0.0.1:1", Base: NoTerm}}
	data, err := Encode(want)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, want)
}

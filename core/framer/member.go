package framer

// Member is the body of a member item: what every host knows of another one.
type Member struct {
	Name          string
	Address       string // of the peer listener
	FailureDomain string
	State         MemberState
}

// MemberState is the state of a host.
type MemberState uint8

// States of a host. A leaving host gets no new roles; a lost one has none.
const (
	Live MemberState = iota + 1
	Leaving
	Dead
)

type wireMember struct {
	Name          string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"`
	FailureDomain string `cbor:"3,keyasint"`
	State         uint8  `cbor:"4,keyasint"`
}

// EncodeMember returns the body of a member item.
func EncodeMember(member Member) ([]byte, error) {
	return encode("encode member", wireMember{
		Name:          member.Name,
		Address:       member.Address,
		FailureDomain: member.FailureDomain,
		State:         uint8(member.State),
	})
}

// DecodeMember reads the body of a member item.
func DecodeMember(body []byte) (Member, error) {
	var wire wireMember
	if err := decode("decode member", body, &wire); err != nil {
		return Member{}, err
	}
	return Member{
		Name:          wire.Name,
		Address:       wire.Address,
		FailureDomain: wire.FailureDomain,
		State:         MemberState(wire.State),
	}, nil
}

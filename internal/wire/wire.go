// Package wire is the schema of the messages that the project's own processes exchange.
//
// Each message is a Go struct. The codecs in messages_gen.go are generated from the structs by msgp and committed. A message
// is encoded as a msgpack map with one-letter keys. Processes of two versions run side by side during an upgrade, so a
// decoder skips keys that it does not know and leaves a field at zero if its key is absent. A new field takes the next
// letter, and a letter is never reused. Times are sent as durations, integers with the unit in the field's name, because
// hosts never compare wall clocks.
package wire

//go:generate go tool msgp -tests=false -io=false -file messages.go -o messages_gen.go

import "github.com/tinylib/msgp/msgp"

// Kind identifies the type of the message in a frame.
type Kind uint8

// The kinds of messages. Their values are part of the protocol and never reused.
const (
	KindHello Kind = iota + 1
	KindHeartbeat
	KindHeadRequest
	KindHeadReply
	KindFileRequest
	KindFileReply
	KindSubscribe
	KindConfigUpdate
	KindPlacementUpdate
	KindMembersUpdate
	KindEndpointsUpdate
	KindEntryStatus
	KindDemandReport
	KindAsk
	KindQueued
	KindGrant
	KindRefuse
	KindDone
	KindCancel
	KindPreempt
	KindResync
	KindClaimRequest
	KindClaimReply
	KindClaimResult
	KindAck
	KindInquiry
	KindInquiryReply
	KindDirectoryUpdate
	KindStarted
	KindFleetState
	KindHolderBeat
	KindPrepare
	KindPrepareReply
	KindViewRequest
	KindViewReply
	KindViewUpdate
	KindViewAsk
	KindRelayBeat
	KindEndpointLeaves
	KindEndpointLimit
	KindKeepAlive
)

// Message is implemented by every struct of this package that is sent in a frame of its own.
type Message interface {
	msgp.Marshaler
	msgp.Unmarshaler
	msgp.Sizer
	Kind() Kind
}

// New returns an empty message of the given kind, or nil for an unknown kind.
func New(k Kind) Message {
	if f, ok := constructors[k]; ok {
		return f()
	}
	return nil
}

// constructors maps each kind to a function that returns an empty message of that kind.
var constructors = map[Kind]func() Message{
	KindHello:           func() Message { return new(Hello) },
	KindHeartbeat:       func() Message { return new(Heartbeat) },
	KindHeadRequest:     func() Message { return new(HeadRequest) },
	KindHeadReply:       func() Message { return new(HeadReply) },
	KindFileRequest:     func() Message { return new(FileRequest) },
	KindFileReply:       func() Message { return new(FileReply) },
	KindSubscribe:       func() Message { return new(Subscribe) },
	KindConfigUpdate:    func() Message { return new(ConfigUpdate) },
	KindPlacementUpdate: func() Message { return new(PlacementUpdate) },
	KindMembersUpdate:   func() Message { return new(MembersUpdate) },
	KindEndpointsUpdate: func() Message { return new(EndpointsUpdate) },
	KindEntryStatus:     func() Message { return new(EntryStatus) },
	KindDemandReport:    func() Message { return new(DemandReport) },
	KindAsk:             func() Message { return new(Ask) },
	KindQueued:          func() Message { return new(Queued) },
	KindGrant:           func() Message { return new(Grant) },
	KindRefuse:          func() Message { return new(Refuse) },
	KindDone:            func() Message { return new(Done) },
	KindCancel:          func() Message { return new(Cancel) },
	KindPreempt:         func() Message { return new(Preempt) },
	KindResync:          func() Message { return new(Resync) },
	KindClaimRequest:    func() Message { return new(ClaimRequest) },
	KindClaimReply:      func() Message { return new(ClaimReply) },
	KindClaimResult:     func() Message { return new(ClaimResult) },
	KindAck:             func() Message { return new(Ack) },
	KindInquiry:         func() Message { return new(Inquiry) },
	KindInquiryReply:    func() Message { return new(InquiryReply) },
	KindDirectoryUpdate: func() Message { return new(DirectoryUpdate) },
	KindStarted:         func() Message { return new(Started) },
	KindFleetState:      func() Message { return new(FleetState) },
	KindHolderBeat:      func() Message { return new(HolderBeat) },
	KindPrepare:         func() Message { return new(Prepare) },
	KindPrepareReply:    func() Message { return new(PrepareReply) },
	KindViewRequest:     func() Message { return new(ViewRequest) },
	KindViewReply:       func() Message { return new(ViewReply) },
	KindViewUpdate:      func() Message { return new(ViewUpdate) },
	KindViewAsk:         func() Message { return new(ViewAsk) },
	KindRelayBeat:       func() Message { return new(RelayBeat) },
	KindEndpointLeaves:  func() Message { return new(EndpointLeaves) },
	KindEndpointLimit:   func() Message { return new(EndpointLimit) },
	KindKeepAlive:       func() Message { return new(KeepAlive) },
}

func (*Hello) Kind() Kind           { return KindHello }
func (*Heartbeat) Kind() Kind       { return KindHeartbeat }
func (*HeadRequest) Kind() Kind     { return KindHeadRequest }
func (*HeadReply) Kind() Kind       { return KindHeadReply }
func (*FileRequest) Kind() Kind     { return KindFileRequest }
func (*FileReply) Kind() Kind       { return KindFileReply }
func (*Subscribe) Kind() Kind       { return KindSubscribe }
func (*ConfigUpdate) Kind() Kind    { return KindConfigUpdate }
func (*PlacementUpdate) Kind() Kind { return KindPlacementUpdate }
func (*MembersUpdate) Kind() Kind   { return KindMembersUpdate }
func (*EndpointsUpdate) Kind() Kind { return KindEndpointsUpdate }
func (*EntryStatus) Kind() Kind     { return KindEntryStatus }
func (*DemandReport) Kind() Kind    { return KindDemandReport }
func (*Ask) Kind() Kind             { return KindAsk }
func (*Queued) Kind() Kind          { return KindQueued }
func (*Grant) Kind() Kind           { return KindGrant }
func (*Refuse) Kind() Kind          { return KindRefuse }
func (*Done) Kind() Kind            { return KindDone }
func (*Cancel) Kind() Kind          { return KindCancel }
func (*Preempt) Kind() Kind         { return KindPreempt }
func (*Resync) Kind() Kind          { return KindResync }
func (*ClaimRequest) Kind() Kind    { return KindClaimRequest }
func (*ClaimReply) Kind() Kind      { return KindClaimReply }
func (*ClaimResult) Kind() Kind     { return KindClaimResult }
func (*Ack) Kind() Kind             { return KindAck }
func (*Inquiry) Kind() Kind         { return KindInquiry }
func (*InquiryReply) Kind() Kind    { return KindInquiryReply }
func (*DirectoryUpdate) Kind() Kind { return KindDirectoryUpdate }
func (*Started) Kind() Kind         { return KindStarted }
func (*FleetState) Kind() Kind      { return KindFleetState }
func (*HolderBeat) Kind() Kind      { return KindHolderBeat }
func (*Prepare) Kind() Kind         { return KindPrepare }
func (*PrepareReply) Kind() Kind    { return KindPrepareReply }
func (*ViewRequest) Kind() Kind     { return KindViewRequest }
func (*ViewReply) Kind() Kind       { return KindViewReply }
func (*ViewUpdate) Kind() Kind      { return KindViewUpdate }
func (*ViewAsk) Kind() Kind         { return KindViewAsk }
func (*RelayBeat) Kind() Kind       { return KindRelayBeat }
func (*EndpointLeaves) Kind() Kind  { return KindEndpointLeaves }
func (*EndpointLimit) Kind() Kind   { return KindEndpointLimit }
func (*KeepAlive) Kind() Kind       { return KindKeepAlive }

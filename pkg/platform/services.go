package platform

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform/platformpb"
)

type tableClient struct {
	transport *transport
	stub      platformpb.Table
}

// Transact applies all writes or none. Too many writes are fault.Invalid.
func (tableClient *tableClient) Transact(ctx context.Context, transaction Transaction) error {
	if len(transaction.Writes) > MaxTransactionWrites {
		return fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "transaction has too many writes",
			Remedy:  "split the transaction",
		})
	}
	_, err := call(ctx, tableClient.transport, tableClient.stub.Transact, EncodeTransaction(transaction))
	return err
}

// Get reads items in one consistent snapshot. A response with other keys is
// fault.Unavailable.
func (tableClient *tableClient) Get(ctx context.Context, keys ...Key) ([]Item, error) {
	response, err := call(ctx, tableClient.transport, tableClient.stub.Get, &platformpb.GetRequest{Keys: EncodeKeys(keys)})
	if err != nil {
		return nil, err
	}
	items := DecodeItems(response.GetItems())
	if !matchesKeys(items, keys) {
		return nil, malformedResponse("items that were not requested")
	}
	return items, nil
}

func matchesKeys(items []Item, keys []Key) bool {
	if len(items) != len(keys) {
		return false
	}
	for i, item := range items {
		if item.Key != keys[i] {
			return false
		}
	}
	return true
}

// Query reads items of one partition in one consistent snapshot.
func (tableClient *tableClient) Query(ctx context.Context, query Query) ([]Item, error) {
	response, err := call(ctx, tableClient.transport, tableClient.stub.Query, EncodeQuery(query))
	if err != nil {
		return nil, err
	}
	return DecodeItems(response.GetItems()), nil
}

type objectsClient struct {
	transport *transport
	stub      platformpb.Objects
}

// Put stores an object atomically.
func (objectsClient *objectsClient) Put(ctx context.Context, name string, value []byte) error {
	_, err := call(ctx, objectsClient.transport, objectsClient.stub.PutObject, &platformpb.PutObjectRequest{Name: name, Value: value})
	return err
}

// Get reads an object.
func (objectsClient *objectsClient) Get(ctx context.Context, name string) ([]byte, error) {
	response, err := call(ctx, objectsClient.transport, objectsClient.stub.GetObject, &platformpb.GetObjectRequest{Name: name})
	if err != nil {
		return nil, err
	}
	return response.GetValue(), nil
}

// List returns names in ascending order.
func (objectsClient *objectsClient) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	request := &platformpb.ListObjectsRequest{Prefix: prefix, After: after, Limit: int32(limit)}
	response, err := call(ctx, objectsClient.transport, objectsClient.stub.ListObjects, request)
	if err != nil {
		return nil, err
	}
	return response.GetNames(), nil
}

// Delete removes an object.
func (objectsClient *objectsClient) Delete(ctx context.Context, name string) error {
	_, err := call(ctx, objectsClient.transport, objectsClient.stub.DeleteObject, &platformpb.DeleteObjectRequest{Name: name})
	return err
}

type vmsClient struct {
	transport *transport
	stub      platformpb.VMs
}

// List returns the VMs that the platform lists as live or leaving.
func (vmsClient *vmsClient) List(ctx context.Context) ([]VM, error) {
	response, err := call(ctx, vmsClient.transport, vmsClient.stub.ListVMs, &platformpb.ListVMsRequest{})
	if err != nil {
		return nil, err
	}
	vms := make([]VM, 0, len(response.GetVms()))
	for _, vm := range response.GetVms() {
		vms = append(vms, VM{Address: vm.GetAddress(), Zone: vm.GetZone(), Leaving: vm.GetLeaving()})
	}
	return vms, nil
}

func malformedResponse(content string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "platform returned " + content,
		Remedy:  "check the address of the platform",
		Outcome: fault.OutcomeUnknown,
	})
}

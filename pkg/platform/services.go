package platform

import (
	"context"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform/platformpb"
)

type tableClient struct {
	link *link
	stub platformpb.Table
}

// Transact applies all writes or none.
func (tableClient *tableClient) Transact(ctx context.Context, transaction Transaction) error {
	if len(transaction.Writes) > MaxTransactionWrites {
		return fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "transaction has too many writes",
			Remedy:  "split the transaction",
		})
	}
	_, err := exchange(ctx, tableClient.link, tableClient.stub.Transact, EncodeTransaction(transaction))
	return err
}

// Get reads items in one consistent snapshot.
func (tableClient *tableClient) Get(ctx context.Context, keys ...Key) ([]Item, error) {
	response, err := exchange(ctx, tableClient.link, tableClient.stub.Get, &platformpb.GetRequest{Keys: EncodeKeys(keys)})
	if err != nil {
		return nil, err
	}
	items := DecodeItems(response.GetItems())
	if !answersKeys(items, keys) {
		return nil, malformed("items that were not asked for")
	}
	return items, nil
}

func answersKeys(items []Item, keys []Key) bool {
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

// Query reads items of one partition.
func (tableClient *tableClient) Query(ctx context.Context, query Query) ([]Item, error) {
	response, err := exchange(ctx, tableClient.link, tableClient.stub.Query, EncodeQuery(query))
	if err != nil {
		return nil, err
	}
	return DecodeItems(response.GetItems()), nil
}

type objectsClient struct {
	link *link
	stub platformpb.Objects
}

// Put stores an object whole.
func (objectsClient *objectsClient) Put(ctx context.Context, name string, value []byte) error {
	_, err := exchange(ctx, objectsClient.link, objectsClient.stub.PutObject, &platformpb.PutObjectRequest{Name: name, Value: value})
	return err
}

// Get reads an object.
func (objectsClient *objectsClient) Get(ctx context.Context, name string) ([]byte, error) {
	response, err := exchange(ctx, objectsClient.link, objectsClient.stub.GetObject, &platformpb.GetObjectRequest{Name: name})
	if err != nil {
		return nil, err
	}
	return response.GetValue(), nil
}

// List returns names in order.
func (objectsClient *objectsClient) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	request := &platformpb.ListObjectsRequest{Prefix: prefix, After: after, Limit: int32(limit)}
	response, err := exchange(ctx, objectsClient.link, objectsClient.stub.ListObjects, request)
	if err != nil {
		return nil, err
	}
	return response.GetNames(), nil
}

// Delete removes an object.
func (objectsClient *objectsClient) Delete(ctx context.Context, name string) error {
	_, err := exchange(ctx, objectsClient.link, objectsClient.stub.DeleteObject, &platformpb.DeleteObjectRequest{Name: name})
	return err
}

type vmsClient struct {
	link *link
	stub platformpb.VMs
}

// List returns the VMs that the platform knows.
func (vmsClient *vmsClient) List(ctx context.Context) ([]VM, error) {
	response, err := exchange(ctx, vmsClient.link, vmsClient.stub.ListVMs, &platformpb.ListVMsRequest{})
	if err != nil {
		return nil, err
	}
	vms := make([]VM, 0, len(response.GetVms()))
	for _, vm := range response.GetVms() {
		vms = append(vms, VM{Address: vm.GetAddress(), Zone: vm.GetZone(), Leaving: vm.GetLeaving()})
	}
	return vms, nil
}

func malformed(what string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: "platform answered with " + what,
		Remedy:  "check the address of the platform",
		Outcome: fault.OutcomeUnknown,
	})
}

package platform

import "gitlab.com/wisterialb/wisterialb/pkg/platform/platformpb"

// EncodeTransaction returns the message of a transaction.
func EncodeTransaction(transaction Transaction) *platformpb.TransactRequest {
	request := &platformpb.TransactRequest{Writes: make([]*platformpb.Write, 0, len(transaction.Writes))}
	for _, write := range transaction.Writes {
		request.Writes = append(request.Writes, &platformpb.Write{
			Key:       encodeKey(write.Key),
			Action:    platformpb.Action(write.Action),
			Value:     write.Value,
			Condition: platformpb.ConditionKind(write.Condition.Kind),
			Version:   write.Condition.Version,
		})
	}
	return request
}

// DecodeTransaction returns the transaction of a message. Unknown actions and
// condition kinds are kept, for the table to refuse.
func DecodeTransaction(request *platformpb.TransactRequest) Transaction {
	transaction := Transaction{Writes: make([]Write, 0, len(request.GetWrites()))}
	for _, write := range request.GetWrites() {
		transaction.Writes = append(transaction.Writes, Write{
			Key:       decodeKey(write.GetKey()),
			Action:    Action(write.GetAction()),
			Value:     write.GetValue(),
			Condition: Condition{Kind: ConditionKind(write.GetCondition()), Version: write.GetVersion()},
		})
	}
	return transaction
}

// EncodeKeys returns the messages of keys.
func EncodeKeys(keys []Key) []*platformpb.Key {
	messages := make([]*platformpb.Key, 0, len(keys))
	for _, key := range keys {
		messages = append(messages, encodeKey(key))
	}
	return messages
}

// DecodeKeys returns the keys of messages.
func DecodeKeys(messages []*platformpb.Key) []Key {
	keys := make([]Key, 0, len(messages))
	for _, message := range messages {
		keys = append(keys, decodeKey(message))
	}
	return keys
}

// EncodeItems returns the messages of items.
func EncodeItems(items []Item) []*platformpb.Item {
	messages := make([]*platformpb.Item, 0, len(items))
	for _, item := range items {
		messages = append(messages, &platformpb.Item{Key: encodeKey(item.Key), Value: item.Value, Version: item.Version})
	}
	return messages
}

// DecodeItems returns the items of messages.
func DecodeItems(messages []*platformpb.Item) []Item {
	items := make([]Item, 0, len(messages))
	for _, message := range messages {
		items = append(items, Item{
			Key:     decodeKey(message.GetKey()),
			Value:   message.GetValue(),
			Version: message.GetVersion(),
		})
	}
	return items
}

// EncodeQuery returns the message of a query.
func EncodeQuery(query Query) *platformpb.QueryRequest {
	return &platformpb.QueryRequest{
		Partition: query.Partition,
		After:     query.After,
		Prefix:    query.Prefix,
		Limit:     int32(query.Limit),
	}
}

// DecodeQuery returns the query of a message.
func DecodeQuery(request *platformpb.QueryRequest) Query {
	return Query{
		Partition: request.GetPartition(),
		After:     request.GetAfter(),
		Prefix:    request.GetPrefix(),
		Limit:     int(request.GetLimit()),
	}
}

func encodeKey(key Key) *platformpb.Key {
	return &platformpb.Key{Partition: key.Partition, Sort: key.Sort}
}

func decodeKey(message *platformpb.Key) Key {
	return Key{Partition: message.GetPartition(), Sort: message.GetSort()}
}

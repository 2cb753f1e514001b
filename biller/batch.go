package biller

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxBatchBytes bounds a decoded batch; 512 bills of 2 KB each are far below it.
const maxBatchBytes = 16 << 20

var errBatchTooLarge = errors.New("biller: decoded batch exceeds 16 MB")

// EncodeBatch returns the value of a batch as it is written: a JSON string with the compressed bills in base64.
func EncodeBatch(batch []Bill) ([]byte, error) {
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("biller: compress batch: %w", err)
	}
	if err := json.NewEncoder(z).Encode(batch); err != nil {
		return nil, fmt.Errorf("biller: encode batch: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("biller: compress batch: %w", err)
	}
	return json.Marshal(buf.Bytes())
}

// DecodeBatch returns the bills of a batch. It also reads batches of earlier versions of the program, which are plain
// JSON arrays.
func DecodeBatch(value []byte) ([]Bill, error) {
	var list []Bill
	if value = bytes.TrimSpace(value); len(value) > 0 && value[0] == '[' {
		if err := json.Unmarshal(value, &list); err != nil {
			return nil, fmt.Errorf("biller: decode plain batch: %w", err)
		}
		return list, nil
	}
	var packed []byte
	if err := json.Unmarshal(value, &packed); err != nil {
		return nil, fmt.Errorf("biller: decode batch: %w", err)
	}
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("biller: decompress batch: %w", err)
	}
	// ReadAll checks the sum at the end of the data.
	plain, err := io.ReadAll(io.LimitReader(z, maxBatchBytes+1))
	if err != nil {
		return nil, fmt.Errorf("biller: decompress batch: %w", err)
	}
	if len(plain) > maxBatchBytes {
		return nil, errBatchTooLarge
	}
	if err := json.Unmarshal(plain, &list); err != nil {
		return nil, fmt.Errorf("biller: decode batch: %w", err)
	}
	return list, nil
}

"""Model load orders to engines, sent by one elected controller per data centre."""

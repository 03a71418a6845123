"""Thrift records and validated models at the border."""

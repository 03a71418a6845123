"""Opening packets: which upstream gets them, and which are refused."""

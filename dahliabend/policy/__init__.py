"""The load-balancing policy: admission, endpoint selection, retries, outlier ejection and rejection."""

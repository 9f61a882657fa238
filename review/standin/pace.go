package main

import "context"

func playPace(context.Context, *site, bool) ([]string, error) { return nil, nil }

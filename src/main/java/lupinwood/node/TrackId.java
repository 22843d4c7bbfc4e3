package lupinwood.node;

/** A track, by its place in the settings. */
public record TrackId(int number) {}

package lupinwood.admission;

/** Identifies what a request is about, such as a parcel; many requests may share it; 0 for none. */
public record SubjectId(long number) {}

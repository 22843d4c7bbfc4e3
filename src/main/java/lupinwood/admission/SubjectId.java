package lupinwood.admission;

/** What a request is about (a parcel, a scooter); many requests may share it; 0 for none. */
public record SubjectId(long number) {}

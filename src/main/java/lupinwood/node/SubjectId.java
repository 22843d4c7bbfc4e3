package lupinwood.node;

/** What a ticket is about (a parcel, a scooter); many tickets may share it; 0 for none. */
public record SubjectId(long number) {}

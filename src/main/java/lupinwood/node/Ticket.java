package lupinwood.node;

/**
 * A ticket as it was read.
 *
 * @param patience how much longer its caller waits; zero where that isn't told
 * @param work the hint of its cost on a standard core; zero where there is none
 * @param memoryKb what it takes while held
 * @param rank its place from 0 to 1 among all tickets, by credit
 * @param repeat it is marked as a further try or a second copy of another
 * @param waited how long ago it reached the machine
 * @param original the remembered ticket that this one repeats, or null
 */
public record Ticket(
        TicketId id,
        TrackId track,
        CustomerId customer,
        SubjectId subject,
        CallerId caller,
        Span patience,
        Span work,
        double memoryKb,
        double rank,
        boolean repeat,
        Span waited,
        TicketId original) {}

package lupinwood.core;

/** What all tries of one receipted ticket have in common. */
public record ReceiptKey(String digits) {}

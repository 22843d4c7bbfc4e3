package lupinwood.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import lupinwood.Brain;
import lupinwood.sim.Drill;
import lupinwood.sim.MalformedFrame;

/** Plays the decisions on the simulator's wire. */
final class DrillWork {
    int run() {
        try {
            new Drill(Brain::new)
                    .play(
                            new FileInputStream(FileDescriptor.in),
                            new FileOutputStream(FileDescriptor.out));
            return 0;
        } catch (MalformedFrame e) {
            System.err.println("lupinwood: malformed frame: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("lupinwood: the wire broke: " + e.getMessage());
            return 1;
        }
    }
}

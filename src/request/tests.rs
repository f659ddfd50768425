mod journal;
